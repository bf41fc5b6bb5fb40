"""Generate the sections of the docs that are derived from the code.

`python -m cassialever.tool.reference` updates them; a test compares them.
"""

import ast
import pathlib
import re
import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias

import logbook

import cassialever
from cassialever.cmdline import app
from cassialever.errors import ANSWER_BY_KIND, ErrorKind
from cassialever.events import Event
from cassialever.tool.exits import MEANING_BY_EXIT_CODE, ExitCode

_RUN_MODULE: Final = re.compile(r'(?<=[a-z]) -m [\w.]+')
INDEX: Final = 'index.md'
END: Final = '<!-- end of what is from the code -->'


def events_table() -> str:
    """Return a table of the log events."""
    lines = ['| Number | Name | Level | Meaning |', '| --- | --- | --- | --- |']
    for event in sorted(Event, key=lambda item: item.number):
        level = logbook.get_level_name(event.level)
        lines.append(
            f'| {event.number} | `{event.name}` | {level} | {event.sentence} |',
        )
    return '\n'.join(lines)


def errors_table() -> str:
    """Return a table of the error kinds and their answers."""
    lines = [
        '| Kind | Status | Not run | Retried elsewhere | Meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    for kind in ErrorKind:
        answer = ANSWER_BY_KIND[kind]
        not_run = 'promised' if answer.not_run else 'not known'
        elsewhere = 'yes' if answer.retryable_elsewhere else 'no'
        lines.append(
            f'| `{kind.value}` | {int(answer.status)} | {not_run}'
            f' | {elsewhere} | {answer.sentence} |',
        )
    return '\n'.join(lines)


def exits_table() -> str:
    """Return a table of the tool's exit codes."""
    lines = ['| Code | Name | Meaning |', '| --- | --- | --- |']
    for code in ExitCode:
        sentence = MEANING_BY_EXIT_CODE[code]
        lines.append(f'| {code.value} | `{code.name}` | {sentence} |')
    return '\n'.join(lines)


def commands_text() -> str:
    """Return the reference of the tool's commands and options."""
    page = app.generate_docs(output_format='markdown')
    _, _, commands = page.partition('**Commands**:')
    # cyclopts adds `-m MODULE` to the usage lines if a module is run.
    return _RUN_MODULE.sub('', commands).strip()


def modules_table() -> str:
    """Return a table of the modules and their summary lines."""
    package = pathlib.Path(cassialever.__file__).parent
    lines = ['| Module | What it does |', '| --- | --- |']
    for path in sorted(package.rglob('*.py')):
        if path.parent == package and path.stem == '__init__':
            continue
        name = path.relative_to(package).with_suffix('').as_posix()
        name = name.removesuffix('/__init__')
        docstring = ast.get_docstring(ast.parse(path.read_text())) or ''
        lines.append(f'| `{name}` | {_first_sentence(docstring)} |')
    return '\n'.join(lines)


def pages_list() -> str:
    """Return a list of links to the developer pages, with titles."""
    docs = pathlib.Path(cassialever.__file__).parent.parent / 'docs'
    lines: list[str] = []
    for path in sorted((*docs.glob('*.md'), *docs.glob('design/*.md'))):
        name = path.relative_to(docs).as_posix()
        if name == INDEX:
            continue
        title = path.read_text().partition('\n')[0].removeprefix('# ')
        lines.append(f'- [{name}]({name}): {title}')
    return '\n'.join(lines)


def _first_sentence(docstring: str) -> str:
    paragraph = docstring.partition('\n\n')[0]
    return ' '.join(paragraph.split())


#: A page and the marker of a section on it.
_SectionId: TypeAlias = tuple[str, str]
_SectionWriter: TypeAlias = Callable[[], str]
GENERATED_SECTIONS: Final[Mapping[_SectionId, _SectionWriter]] = (
    MappingProxyType(
        {
            (INDEX, 'pages'): pages_list,
            ('events.md', 'events'): events_table,
            ('errors.md', 'errors'): errors_table,
            ('architecture.md', 'modules'): modules_table,
            ('operating/commands.md', 'exit codes'): exits_table,
            ('operating/commands.md', 'commands'): commands_text,
        },
    )
)


def replace_section(page: str, mark: str, section: str) -> str:
    """Return a page with the section between two markers replaced."""
    start = f'<!-- {mark}, from the code -->'
    before, _, rest = page.partition(start)
    _, _, after = rest.partition(END)
    return f'{before}{start}\n\n{section}\n\n{END}{after}'


def regenerate(docs: pathlib.Path) -> list[str]:
    """Update the generated sections in a folder; return the changed ones."""
    changed: list[str] = []
    for (name, mark), write in GENERATED_SECTIONS.items():
        path = docs / name
        page = path.read_text()
        updated = replace_section(page, mark, write())
        if updated != page:
            path.write_text(updated)
            changed.append(f'{name}: {mark}')
    return changed


if __name__ == '__main__':
    for changed_section in regenerate(pathlib.Path('docs')):
        sys.stdout.write(f'{changed_section}\n')
