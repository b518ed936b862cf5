"""Find the entries that read the store for a region, by their logs."""

import json

from soak import const

BEGINNING = ('"started"', '"subject":"reader"')


def find(soak, region):
    """Return the names of a region's readers."""
    return tuple(
        name
        for number, name in enumerate(soak.members)
        if _region(number) == region and _reads(soak.folder / f'{name}.log')
    )


def _region(number):
    """Return the region of the entry that was added as this one."""
    domains = list(const.DOMAINS)
    return const.DOMAINS[domains[number % len(domains)]]


def _reads(log):
    """Return whether the last process that wrote a log reads the store."""
    reads = False
    for line in log.read_text().splitlines():
        if any(text in line for text in BEGINNING):
            reads = _line_reads(line, reads)
    return reads


def _line_reads(line, before):
    """Return whether the process reads after a line, cut off or not."""
    try:
        fields = json.loads(line)
    except ValueError:
        return before
    if fields.get('subject') == 'reader':
        return fields['after'] == 'reads'
    return False
