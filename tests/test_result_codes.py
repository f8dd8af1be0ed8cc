"""The documented table of result codes matches the code."""

import pathlib
import re

from briarrill.errors import ERRORS_BY_CODE, InternalError
from briarrill.result_codes import ResultCode

TABLE = pathlib.Path(__file__).parent.parent / 'docs' / 'result-codes.md'
ROW = re.compile(
    r'^\| (\d+) \| (\w+) \| (\d+) \| (\w*) \| (\w+) \| (.+) \|$', re.MULTILINE
)


def _read_table():
    rows = ROW.findall(TABLE.read_text(encoding='utf-8'))
    return {int(row[0]): row[1:5] for row in rows}


def test_table_lists_each_result_code():
    assert {code.value: code.name for code in ResultCode} == {
        number: row[0] for number, row in _read_table().items()
    }


def test_table_row_matches_error_class():
    table = _read_table()
    assert ERRORS_BY_CODE
    for code, cls in ERRORS_BY_CODE.items():
        row = (code.name, str(cls.http_status), cls.__name__, cls.ran.value)
        assert table[code] == row


def test_every_code_but_ok_and_internal_has_an_error_class():
    codes_without_class = set(ResultCode) - set(ERRORS_BY_CODE)
    assert codes_without_class == {ResultCode.OK, InternalError.code}
