"""briarrill.ctl.tables: output of rows as text or JSON."""

import sys
from collections.abc import Sequence

import msgspec
from attrs import AttrsInstance, fields

__all__ = ('print_rows',)

COLUMN_GAP = '  '


def print_rows(rows: Sequence[AttrsInstance], *, as_json: bool) -> None:
    """Print rows as an aligned table or as a JSON array.

    :param rows: attrs instances of one class, whose attributes are the
        columns; a table without rows prints ``none``.
    """
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(rows).decode()}\n')
        return
    if not rows:
        sys.stdout.write('none\n')
        return
    names = [field.name for field in fields(type(rows[0]))]
    table = [names, *(_row_cells(row, names) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for cells in table:
        padded = map(str.ljust, cells, widths)
        sys.stdout.write(f'{COLUMN_GAP.join(padded).rstrip()}\n')


def _row_cells(row: AttrsInstance, names: list[str]) -> list[str]:
    return [str(getattr(row, name)) for name in names]
