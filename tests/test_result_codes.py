"""The table of result codes in the docs matches the code."""

import pathlib
import re

from briarrill.errors import ERRORS_BY_CODE, InternalError
from briarrill.result_codes import ResultCode

TABLE = pathlib.Path(__file__).parent.parent / 'docs' / 'result-codes.md'
ROW = re.compile(
    r'^\| (\d+) \| (\w+) \| (\d+) \| (\w*) \| (\w+) \| (.+) \|$', re.MULTILINE
)


def _documented():
    rows = ROW.findall(TABLE.read_text(encoding='utf-8'))
    return {int(row[0]): row[1:5] for row in rows}


def test_each_code_has_its_row():
    assert {code.value: code.name for code in ResultCode} == {
        number: row[0] for number, row in _documented().items()
    }


def test_each_error_class_matches_its_row():
    documented = _documented()
    assert ERRORS_BY_CODE
    for code, cls in ERRORS_BY_CODE.items():
        row = (code.name, str(cls.http_status), cls.__name__, cls.ran.value)
        assert documented[code] == row


def test_every_code_but_ok_has_a_class():
    without = set(ResultCode) - set(ERRORS_BY_CODE)
    assert without == {ResultCode.OK, InternalError.code}
