"""Tables of scored days from the journal: `python -m bench.days`.

Rewrites the part of docs/platform.md between its two markers, from the newest
journal entry of each site that scores all days.
"""

import json
import pathlib

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / 'docs/platform.md'
BEGIN, END = '<!-- days -->\n', '<!-- /days -->\n'
# Number of losses that the table shows for a day.
SHOWN_LOSSES = 2


def newest_scores(folder):
    """Return the newest journal entry that scores all days, by site.

    Args:
        folder: Folder of the journal entries.
    """
    found = {}
    for path in sorted(pathlib.Path(folder).glob('*.json')):
        entry = json.loads(path.read_text())
        complete = entry['cmd'] == 'score' and len(entry.get('days', ())) >= 6
        # Entries of trials do not score the software in use.
        if complete and not entry['why'].startswith('trial'):
            found[entry['site']] = entry
    return found


def table(entry):
    """Yield the lines of one site's table.

    Args:
        entry: Journal entry with a score of all days.
    """
    yield f'### {entry["site"]}, {entry["at"][0][:16]}Z, {entry["id"]}\n\n'
    yield f'Score {entry["score"]:.3f}. {entry["why"]}\n\n'
    yield '| day | worth | served | refused | failed | lost to | broken |\n'
    yield '| --- | --- | --- | --- | --- | --- | --- |\n'
    for day in entry['days']:
        yield (
            f'| {day["name"]} | {day["G"]:.3f} | {day["served"]:.3f} '
            f'| {day["refused"]:.3f} | {day["failed"]:.3f} '
            f'| {", ".join(losses(day))} | {violated_rules(day)} |\n'
        )
    yield '\n'


def losses(day):
    """Return texts on the largest losses of a day's score, largest first."""
    found = [
        (weight * (1 - value), f'{name} {weight * (1 - value):.3f}')
        for name, weight, value in day['parts']
    ]
    found += [
        (price, f'{name} {price:.3f}') for name, _, price in day['prices']
    ]
    return [text for _, text in sorted(found, reverse=True)[:SHOWN_LOSSES]]


def violated_rules(day):
    """Return the rules violated on a day, with counts, or 'none'."""
    rules = [
        f'{name} {count}' for name, count in day['rules'].items() if count
    ]
    return ', '.join(rules) or 'none'


def main():
    """Rewrite the tables on the page."""
    text = PAGE.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    lines = [
        line
        for _, entry in sorted(newest_scores(ROOT / 'journal').items())
        for line in table(entry)
    ]
    PAGE.write_text(head + BEGIN + '\n' + ''.join(lines) + END + tail)


if __name__ == '__main__':
    main()
