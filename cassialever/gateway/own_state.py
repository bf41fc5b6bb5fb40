"""What this daemon is and does, for its peers, its log and its metrics."""

import time

from cassialever.fleet import messages
from cassialever.fleet.activity import Activity
from cassialever.fleet.leader_contact import TablesWay
from cassialever.fleet.membership import Membership, MemberState
from cassialever.fleet.model import version_of
from cassialever.gateway.metrics import Reading
from cassialever.gateway.settings import GatewaySettings
from cassialever.gateway.tables_state import TablesState
from cassialever.types import Seconds


def greeting(settings: GatewaySettings) -> messages.Hello:
    """Return what this process greets its peers with."""
    return messages.Hello(
        settings.instance.instance_id,
        # The wall clock makes each incarnation higher than the last.
        time.time_ns(),
        settings.internal_address,
        {},
    )


def activity_of(membership: Membership, now: Seconds) -> Activity:
    """Return what a daemon does about the leadership."""
    candidacy = membership.candidacy
    if membership.contact.is_stopping:
        return Activity.stopping
    if candidacy is not None and candidacy.is_yielding(now):
        return Activity.yielding
    return Activity(membership.state.value)


def tables_state(membership: Membership) -> TablesState:
    """Return the state of a daemon's tables."""
    view = membership.link.view
    return TablesState(
        version_of(view.configuration),
        membership.contact.tables_age(membership.tables_age()),
        view.rows.newest_from,
        time_without_leader(membership),
    )


def time_without_leader(membership: Membership) -> Seconds:
    """Return the time since a daemon lost its leader; 0 with one."""
    if membership.state is MemberState.leading:
        return 0
    return membership.contact.time_without()


def leader_readings(membership: Membership) -> list[Reading]:
    """Return readings of the leader, and of the age of the tables."""
    contact = membership.contact
    age = contact.tables_age(membership.tables_age())
    rows = membership.link.view.rows
    false_versions = rows.false_versions
    return [
        Reading('seconds_without_leader', time_without_leader(membership)),
        Reading('tables_age_seconds', age),
        Reading('versions_disproved', false_versions.count),
        Reading('writes_lost', rows.lost_writes.count),
        *(
            Reading('tables_age_by_way_seconds', by_way, {'way': way.value})
            for way, by_way in _age_by_way(membership).items()
        ),
        *(
            Reading('terms_ended', count, {'reason': end.name})
            for end, count in contact.terms.count_by_end.items()
        ),
        Reading('short_terms', contact.terms.short_count),
        Reading('leader_changes', contact.changes.total),
        Reading('leaders_seen', contact.changes.seen_count),
        Reading('leaders_short', contact.changes.short_count),
        *(
            Reading('elections_failed', count, {'reason': hindrance.name})
            for hindrance, count in contact.attempts.total_by_hindrance.items()
        ),
    ]


def follow_readings(membership: Membership) -> list[Reading]:
    """Return readings of how often the store was followed directly."""
    return [
        Reading('store_followed', count, {'reason': reason})
        for reason, count in membership.contact.follows_by_reason().items()
    ]


def _age_by_way(membership: Membership) -> dict[TablesWay, Seconds]:
    """Return the age of a daemon's tables by each way in use."""
    if membership.state is MemberState.leading:
        return {TablesWay.store: membership.tables_age()}
    return membership.contact.age_by_way()
