"""Check which entries a look-up returns, and in which order."""

from core import samples
import zinnialead_core as core
from zinnialead_core.components.keys import issued_keys
from zinnialead_core.components.lookups import coordinator
from zinnialead_core.components.lookups import models
from zinnialead_core.components import members
from zinnialead_core.components import tickets
from zinnialead_core import inputs as inp

DOMAINS = {
    'kigali-a': 'kigali',
    'kigali-b': 'kigali',
    'huye-a': 'huye',
}
QUESTION = models.LookUp('intake', None, 'kigali-a', '10.0.0.1')


def new_state(**changed):
    sample = samples.state(number=2)
    upstream = sample.upstreams['intake-1']
    upstreams = {
        domain: upstream._replace(upstream=domain, domain=domain)
        for domain in DOMAINS
    }
    domains = {
        domain: tickets.DomainRow(domain, region, 4)
        for domain, region in DOMAINS.items()
    }
    state = sample._replace(upstreams=upstreams, domains=domains)
    return state._replace(**changed)


def new_world(**changed):
    world = samples.world()
    for domain in DOMAINS:
        for number in range(1, 5):
            entry = f'{domain}-{number}'
            world.members[entry] = members.MemberRow(
                entry, 7, domain, entry, members.Health.ALIVE, 0.0, 0
            )
    list(core.tick(world, 1.0, [inp.StateRead(new_state(**changed))]))
    return world


def domains_of(answer):
    return [choice.domain for choice in answer.choices]


def test_choices_add_the_sibling_domain_and_another_region():
    answer = coordinator.look_up(new_world(), 5.0, QUESTION)
    assert domains_of(answer) == [*['kigali-a'] * 2, 'kigali-b', 'huye-a']


def test_clients_are_spread_over_the_entries():
    world = new_world()
    first = {
        coordinator.look_up(
            world, 5.0, QUESTION._replace(client=f'10.0.0.{x}')
        )
        .choices[0]
        .entry
        for x in range(100)
    }
    assert len(first) == 5


def test_drained_domains_and_those_without_upstreams_go_last():
    drains = {'d': tickets.DomainDrain('kigali-a')}
    answer = coordinator.look_up(new_world(drains=drains), 5.0, QUESTION)
    assert domains_of(answer) == ['kigali-b', 'kigali-b', 'huye-a', 'kigali-b']
    drains = {x: tickets.UpstreamDrain(x) for x in ('kigali-a', 'kigali-b')}
    answer = coordinator.look_up(new_world(drains=drains), 5.0, QUESTION)
    assert domains_of(answer) == ['huye-a', 'huye-a', 'kigali-a', 'huye-a']


def test_dead_and_leaving_entries_are_not_returned():
    world = new_world()
    coordinator.look_up(world, 5.0, QUESTION)
    for health in (members.Health.DEAD, members.Health.LEAVING):
        for number in (1, 2, 3, 4):
            entry = f'kigali-a-{number}'
            row = world.members[entry]
            world.members[entry] = row._replace(health=health)
        answer = coordinator.look_up(world, 6.0, QUESTION)
        assert domains_of(answer) == [
            'kigali-a',
            'kigali-b',
            'huye-a',
            'kigali-b',
        ]
        assert answer.choices[0].entry == samples.REF.entry


def test_key_prefixes_name_the_choice_and_a_witness_in_its_region():
    answer = coordinator.look_up(new_world(), 12.0, QUESTION)
    for choice in answer.choices:
        key = issued_keys.parse(f'{choice.key_prefix}.n')
        home, witness = key.registrars
        assert home.entry == choice.entry
        assert key.issued_ms == 12.0
        region = choice.domain.partition('-')[0]
        assert witness.entry.startswith(region)
        assert witness.entry != home.entry
    assert witness.incarnation == 7


def test_an_answer_without_witnesses_has_a_short_lifetime():
    world = new_world()
    assert coordinator.look_up(world, 5.0, QUESTION).lifetime_ms == 10_000.0
    for entry in list(world.members):
        if entry != samples.REF.entry:
            del world.members[entry]
    answer = coordinator.look_up(world, 6_000.0, QUESTION)
    assert issued_keys.parse(
        f'{answer.choices[0].key_prefix}.n'
    ).registrars == (samples.REF,)
    assert answer.lifetime_ms == 1_000.0


def test_many_questions_are_answered_in_order():
    world = new_world()
    questions = [QUESTION, QUESTION._replace(domain='huye-a')]
    answers = list(coordinator.look_up_many(world, 5.0, questions))
    assert [domains_of(x)[0] for x in answers] == ['kigali-a', 'huye-a']


def test_a_client_address_selects_its_domain_by_block():
    blocks = {'b': tickets.BlockRow('10.0.0.0/24', 'huye-a')}
    world = new_world(blocks=blocks)
    question = QUESTION._replace(domain=None)
    assert domains_of(coordinator.look_up(world, 5.0, question))[0] == 'huye-a'
    assert world.lookups.block_rows[0] == blocks
