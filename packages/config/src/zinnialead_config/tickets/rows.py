"""Convert the items of tickets to the rows of the core, and back."""

from collections import abc

from zinnialead_config.tickets import documents
from zinnialead_core.components import tickets
from zinnialead_core import ids

UpstreamTable = dict[ids.UpstreamId, tickets.UpstreamRow]


def service(
    name: str, document: documents.ServiceDocument
) -> tickets.ServiceRow:
    """Return the row of a service."""
    return tickets.ServiceRow(
        service=ids.ServiceId(name),
        idempotent=document['idempotent'],
        default_rank=ids.RankId(document['default_rank']),
        deadline_max_ms=document['deadline_max_ms'],
        service_time_ms=document['service_time_ms'],
        body_max_bytes=document['body_max_bytes'],
        queue_max=document['queue_max'],
    )


def domain(name: str, document: documents.DomainDocument) -> tickets.DomainRow:
    """Return the row of a failure domain."""
    return tickets.DomainRow(
        ids.DomainId(name),
        ids.RegionId(document['region']),
        document['entries_max'],
    )


def rank(name: str, document: documents.RankDocument) -> tickets.RankRow:
    """Return the row of a rank."""
    return tickets.RankRow(
        ids.RankId(name),
        document['order'],
        document['worth'],
        document['floor_share'],
        document['target_ms'],
    )


def block(prefix: str, document: documents.BlockDocument) -> tickets.BlockRow:
    """Return the row of a block of client addresses."""
    return tickets.BlockRow(prefix, ids.DomainId(document['domain']))


def upstreams(
    current: abc.Mapping[ids.UpstreamId, tickets.UpstreamRow],
    places: abc.Mapping[str, documents.PlaceDocument | None],
) -> UpstreamTable:
    """Return the upstreams with those of each given place replaced."""
    result = {
        name: row
        for name, row in current.items()
        if f'{row.service}/{row.domain}' not in places
    }
    for place_name, document in places.items():
        for row in _place_upstreams(place_name, document):
            result[row.upstream] = row
    return result


def _place_upstreams(
    place_name: str, document: documents.PlaceDocument | None
) -> abc.Iterator[tickets.UpstreamRow]:
    if document is None:
        return
    service_name, _, domain_name = place_name.partition('/')
    for name, upstream in document['upstreams'].items():
        yield tickets.UpstreamRow(
            ids.UpstreamId(name),
            ids.ServiceId(service_name),
            ids.DomainId(domain_name),
            upstream['address'],
            upstream['slots'],
            upstream['connections_max'],
        )


def drain(_name: str, document: documents.DrainDocument) -> tickets.Drain:
    """Return the data class of a drain."""
    match document:
        case {'kind': 'upstream', 'upstream': str(upstream)}:
            return tickets.UpstreamDrain(ids.UpstreamId(upstream))
        case {'kind': 'domain', 'domain': str(domain_name)}:
            return tickets.DomainDrain(ids.DomainId(domain_name))
        case {'kind': 'region', 'region': str(region)}:
            return tickets.RegionDrain(ids.RegionId(region))
    raise AssertionError(f'unchecked drain: {document}')


def cap(_name: str, document: documents.CapDocument) -> tickets.Cap:
    """Return the data class of a cap."""
    match document['kind']:
        case 'shift':
            return tickets.ShiftCap(
                ids.RegionId(document['from_region']),
                ids.RegionId(document['to_region']),
                document['requests_per_s'],
            )
        case 'region':
            return tickets.RegionLimit(
                ids.RegionId(document['region']),
                ids.ServiceId(document['service']),
                document['in_flight'],
            )
        case 'link':
            return tickets.LinkBudget(
                ids.RegionId(document['from_region']),
                ids.RegionId(document['to_region']),
                document['bytes_per_s'],
            )


def drain_document(drain_row: tickets.Drain) -> documents.DrainDocument:
    """Return the document of a drain."""
    match drain_row:
        case tickets.UpstreamDrain(upstream):
            return {'kind': 'upstream', 'upstream': upstream}
        case tickets.DomainDrain(domain_name):
            return {'kind': 'domain', 'domain': domain_name}
        case tickets.RegionDrain(region):
            return {'kind': 'region', 'region': region}


def cap_document(cap_row: tickets.Cap) -> documents.CapDocument:
    """Return the document of a cap."""
    match cap_row:
        case tickets.ShiftCap(from_region, to_region, requests_per_s):
            return {
                'kind': 'shift',
                'from_region': from_region,
                'to_region': to_region,
                'requests_per_s': requests_per_s,
            }
        case tickets.RegionLimit(region, service_name, in_flight):
            return {
                'kind': 'region',
                'region': region,
                'service': service_name,
                'in_flight': in_flight,
            }
        case tickets.LinkBudget(from_region, to_region, bytes_per_s):
            return {
                'kind': 'link',
                'from_region': from_region,
                'to_region': to_region,
                'bytes_per_s': bytes_per_s,
            }
