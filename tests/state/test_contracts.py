"""Tests of the limits that a contract may have."""

import pytest

from briarrill.errors import ConfigurationError
from briarrill.state.contracts import load_configuration


@pytest.mark.parametrize('limit', ['nan', 'inf', '-inf', '0.0', '-1.0'])
@pytest.mark.parametrize(
    'name', ['requests_per_second', 'tokens_per_second', 'batch_share']
)
def test_limit_that_is_no_positive_number_is_refused(tmp_path, name, limit):
    path = tmp_path / 'configuration.toml'
    path.write_text(
        f'[contracts.kinship]\napi_key_sha256 = []\n{name} = {limit}\n'
    )
    with pytest.raises(ConfigurationError, match=f'kinship.{name}'):
        load_configuration(str(path))
