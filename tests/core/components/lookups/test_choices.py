"""Order entries by distance, health, drains and service."""

from core import samples
import zinnialead_core as core
from zinnialead_core.components.keys import issued
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


def state(**changed):
    old = samples.state(number=2)
    base = old.upstreams['intake-1']
    upstreams = {
        domain: base._replace(upstream=domain, domain=domain)
        for domain in DOMAINS
    }
    domains = {
        domain: tickets.DomainRow(domain, region, 4)
        for domain, region in DOMAINS.items()
    }
    made = old._replace(upstreams=upstreams, domains=domains)
    return made._replace(**changed)


def world(**changed):
    made = samples.world()
    for domain in DOMAINS:
        for number in range(1, 5):
            entry = f'{domain}-{number}'
            made.members[entry] = members.MemberRow(
                entry, 7, domain, entry, members.Health.ALIVE, 0.0, 0
            )
    list(core.tick(made, 1.0, [inp.StateRead(state(**changed))]))
    return made


def domains_of(answer):
    return [choice.domain for choice in answer.choices]


def test_a_sibling_and_another_region_outlive_the_own_domain():
    answer = coordinator.look_up(world(), 5.0, QUESTION)
    assert domains_of(answer) == [*['kigali-a'] * 2, 'kigali-b', 'huye-a']


def test_clients_start_at_different_entries():
    made = world()
    first = {
        coordinator.look_up(made, 5.0, QUESTION._replace(client=f'10.0.0.{x}'))
        .choices[0]
        .entry
        for x in range(100)
    }
    assert len(first) == 5


def test_drained_and_unserved_domains_go_last():
    drains = {'d': tickets.DomainDrain('kigali-a')}
    answer = coordinator.look_up(world(drains=drains), 5.0, QUESTION)
    assert domains_of(answer) == ['kigali-b', 'kigali-b', 'huye-a', 'kigali-b']
    drains = {x: tickets.UpstreamDrain(x) for x in ('kigali-a', 'kigali-b')}
    answer = coordinator.look_up(world(drains=drains), 5.0, QUESTION)
    assert domains_of(answer) == ['huye-a', 'huye-a', 'kigali-a', 'huye-a']


def test_a_dead_or_leaving_entry_is_no_choice():
    made = world()
    coordinator.look_up(made, 5.0, QUESTION)
    for health in (members.Health.DEAD, members.Health.LEAVING):
        for number in (1, 2, 3, 4):
            entry = f'kigali-a-{number}'
            row = made.members[entry]
            made.members[entry] = row._replace(health=health)
        answer = coordinator.look_up(made, 6.0, QUESTION)
        assert domains_of(answer) == [
            'kigali-a',
            'kigali-b',
            'huye-a',
            'kigali-b',
        ]
        assert answer.choices[0].entry == samples.REF.entry


def test_each_choice_has_keys_that_name_it_and_a_sibling():
    answer = coordinator.look_up(world(), 12.0, QUESTION)
    for choice in answer.choices:
        key = issued.parse(f'{choice.key_prefix}.n')
        home, witness = key.registrars
        assert home.entry == choice.entry
        assert key.issued_ms == 12.0
        region = choice.domain.partition('-')[0]
        assert witness.entry.startswith(region)
        assert witness.entry != home.entry
    assert witness.incarnation == 7


def test_an_answer_whose_keys_have_no_witness_is_soon_asked_again():
    made = world()
    assert coordinator.look_up(made, 5.0, QUESTION).lifetime_ms == 10_000.0
    for entry in list(made.members):
        if entry != samples.REF.entry:
            del made.members[entry]
    answer = coordinator.look_up(made, 6_000.0, QUESTION)
    assert issued.parse(f'{answer.choices[0].key_prefix}.n').registrars == (
        samples.REF,
    )
    assert answer.lifetime_ms == 1_000.0


def test_many_questions_are_answered_in_their_order():
    made = world()
    asked = [QUESTION, QUESTION._replace(domain='huye-a')]
    answers = list(coordinator.look_up_many(made, 5.0, asked))
    assert [domains_of(x)[0] for x in answers] == ['kigali-a', 'huye-a']


def test_a_client_is_found_by_its_block():
    blocks = {'b': tickets.BlockRow('10.0.0.0/24', 'huye-a')}
    made = world(blocks=blocks)
    asked = QUESTION._replace(domain=None)
    assert domains_of(coordinator.look_up(made, 5.0, asked))[0] == 'huye-a'
    assert made.lookups.sources[0] == blocks
