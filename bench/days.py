"""Table of days from the journal of plays: `python -m bench.days`.

Rewrites the part of docs/platform.md between its two marks, from the newest
full score of each site.
"""

import json
import pathlib

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / 'docs/platform.md'
BEGIN, END = '<!-- days -->\n', '<!-- /days -->\n'
# Parts of the worth that are named for a day.
NAMED = 2


def newest_scores(folder):
    """Return the newest score with all days, by site.

    Args:
        folder: Of journal entries.
    """
    found = {}
    for path in sorted(pathlib.Path(folder).glob('*.json')):
        entry = json.loads(path.read_text())
        whole = entry['cmd'] == 'score' and len(entry.get('days', ())) >= 6
        # Trials are not what is in force.
        if whole and not entry['why'].startswith('trial'):
            found[entry['site']] = entry
    return found


def table(entry):
    """Yield the lines of one site's table."""
    yield f'### {entry["site"]}, {entry["at"][0][:16]}Z, {entry["id"]}\n\n'
    yield f'Score {entry["score"]:.3f}. {entry["why"]}\n\n'
    yield '| day | worth | served | refused | failed | lost to | broken |\n'
    yield '| --- | --- | --- | --- | --- | --- | --- |\n'
    for day in entry['days']:
        yield (
            f'| {day["name"]} | {day["G"]:.3f} | {day["served"]:.3f} '
            f'| {day["refused"]:.3f} | {day["failed"]:.3f} '
            f'| {", ".join(losses(day))} | {broken(day)} |\n'
        )
    yield '\n'


def losses(day):
    """Return the largest losses of a day's worth, largest first."""
    found = [
        (weight * (1 - value), f'{name} {weight * (1 - value):.3f}')
        for name, weight, value in day['parts']
    ]
    found += [
        (price, f'{name} {price:.3f}') for name, _, price in day['prices']
    ]
    return [text for _, text in sorted(found, reverse=True)[:NAMED]]


def broken(day):
    """Return the rules that a day broke."""
    rules = [
        f'{name} {count}' for name, count in day['rules'].items() if count
    ]
    return ', '.join(rules) or 'none'


def main():
    """Rewrite the page."""
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
