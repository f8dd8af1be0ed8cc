"""Records of which versions have served, on virtual time."""

import pytest

from briarrill.coordination.version_records import (
    RANK_DELAY_S,
    RECORD_RETENTION_S,
    SETTLING_S,
    VERSION_RETENTION_S,
    ServedVersion,
    VersionRecords,
)

V1 = ServedVersion('llm', 'v1')
V2 = ServedVersion('llm', 'v2')
OTHER = ServedVersion('other', 'v1')


class Setting:
    """Records with a clock and a time since which upstreams are followed."""

    def __init__(self):
        self.now = 500.0
        self.followed_since = self.now
        self.records = VersionRecords(
            lambda: True, lambda: self.followed_since, lambda: self.now
        )

    def pass_time(self, duration_s, *registered, left=()):
        """Compare in steps with versions that are registered all the time."""
        end = self.now + duration_s
        while self.now < end:
            self.compare(*registered, left=left)
            self.now = min(end, self.now + 0.25)
        self.compare(*registered, left=left)

    def compare(self, *registered, left=()):
        self.records.update(registered, {*registered, *left})

    def creates(self, rank=0):
        return self.records.due_creates(lambda served: rank)

    def deletes(self, rank=0):
        return self.records.due_deletes(lambda served: rank)


@pytest.fixture
def setting():
    return Setting()


def test_version_is_recorded_at_once_by_the_first_and_later_by_others(
    setting,
):
    setting.pass_time(SETTLING_S)
    setting.compare(V1)
    assert setting.creates() == [V1]
    assert setting.creates(1) == []
    setting.pass_time(RANK_DELAY_S, V1)
    assert setting.creates(1) == [V1]
    assert setting.creates(2) == []
    setting.records.add(V1)
    setting.compare(V1)
    assert setting.creates() == []


def test_processes_that_start_together_wait_until_they_hear_each_other(
    setting,
):
    setting.compare(V1)
    assert setting.creates() == []
    setting.pass_time(SETTLING_S, V1)
    assert setting.creates() == [V1]


def test_version_that_left_before_it_could_be_recorded_still_is(setting):
    setting.pass_time(SETTLING_S, V1)
    setting.pass_time(1, left=[V1])
    assert setting.creates() == [V1]
    setting.compare()
    assert setting.creates() == []


def test_record_found_at_the_start_counts_from_then_on(setting):
    setting.pass_time(5)
    setting.records.add(V1)
    setting.pass_time(VERSION_RETENTION_S - 1)
    assert setting.records.served_lately('llm') == {'v1'}
    assert setting.records.served_lately('other') == set()
    setting.pass_time(1)
    assert setting.records.served_lately('llm') == set()
    assert setting.deletes() == []
    setting.pass_time(RECORD_RETENTION_S - VERSION_RETENTION_S)
    assert setting.deletes() == [V1]
    assert setting.deletes(1) == []
    setting.pass_time(RANK_DELAY_S)
    assert setting.deletes(1) == [V1]


def test_record_counts_anew_after_an_outage(setting):
    setting.records.add(V1)
    setting.pass_time(RECORD_RETENTION_S)
    assert setting.deletes() == [V1]
    # upstreams of it may have come and left meanwhile
    setting.followed_since = setting.now
    assert setting.records.served_lately('llm') == {'v1'}
    assert setting.deletes() == []


def test_record_of_a_version_that_serves_is_never_deleted(setting):
    setting.records.add(V1)
    setting.pass_time(10 * RECORD_RETENTION_S, V1)
    assert setting.deletes() == []


def test_version_that_comes_back_counts_from_its_last_upstream(setting):
    setting.records.add(V1)
    setting.pass_time(VERSION_RETENTION_S)
    setting.pass_time(1, V1)
    setting.pass_time(VERSION_RETENTION_S - 1)
    assert setting.records.served_lately('llm') == {'v1'}
    setting.pass_time(2)
    assert setting.records.served_lately('llm') == set()


def test_deleted_record_of_a_version_that_is_back_is_written_again(setting):
    setting.records.add(V1)
    setting.pass_time(RECORD_RETENTION_S)
    setting.compare(V1)
    setting.records.discard(V1)
    setting.compare(V1)
    assert setting.creates() == [V1]


def test_records_stay_while_another_version_of_the_service_has_none(setting):
    setting.records.add(V1)
    setting.records.add(OTHER)
    setting.pass_time(RECORD_RETENTION_S, V2)
    assert setting.deletes() == [OTHER]
    setting.records.add(V2)
    setting.compare(V2)
    assert setting.deletes() == [V1, OTHER]


def test_records_of_releases_in_series_go_one_after_another(setting):
    versions = [ServedVersion('llm', f'v{number}') for number in range(4)]
    for served in versions:
        setting.pass_time(SETTLING_S, served)
        assert setting.creates() == [served]
        setting.records.add(served)
        setting.pass_time(15, served)
    names = {served.version for served in versions}
    assert setting.records.served_lately('llm') == names
    deleted = []
    while len(deleted) < 3:
        setting.pass_time(1, versions[-1])
        for served in setting.deletes():
            setting.records.discard(served)
            deleted.append(served)
    assert deleted == versions[:3]
    assert setting.records.served_lately('llm') == {'v3'}


def test_version_without_a_record_is_held_for_a_while(setting):
    assert not setting.records.is_held(V1)
    setting.records.hold_s = 1.5
    setting.records.record_registration(V1)
    setting.pass_time(1.25, V1)
    assert setting.records.is_held(V1)
    assert not setting.records.is_held(V2)
    setting.pass_time(0.25, V1)
    # nothing could be recorded, and service goes on
    assert not setting.records.is_held(V1)
    setting.records.record_registration(V1)
    assert not setting.records.is_held(V1)


@pytest.mark.parametrize('is_read', [False, True])
@pytest.mark.parametrize('is_read_by_peers', [False, True])
def test_process_that_starts_among_others_holds_no_version(
    setting, is_read, is_read_by_peers
):
    setting.records.is_read = lambda: is_read
    setting.records.is_read_by_peers = lambda: is_read_by_peers
    setting.records.hold_s = 1.5
    setting.records.record_registration(V1)
    is_unread_here_alone = is_read_by_peers and not is_read
    assert setting.records.is_held(V1) is not is_unread_here_alone


def test_recorded_version_is_not_held(setting):
    setting.records.hold_s = 1.5
    setting.records.record_registration(V1)
    setting.records.add(V1)
    assert not setting.records.is_held(V1)
    setting.records.record_registration(V1)
    assert not setting.records.is_held(V1)
    # it is recorded once more after its record has been deleted
    setting.records.discard(V1)
    setting.records.record_registration(V1)
    assert setting.records.is_held(V1)


def test_records_of_one_service_tell_nothing_of_another(setting):
    setting.records.add(OTHER)
    assert not setting.records.has_any('llm')
    assert setting.records.has_any('other')
