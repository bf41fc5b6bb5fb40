"""The numbered log events; `docs/events.md` lists them.

Numbers are never reused. Ranges: 100 life cycle, 200 request path,
300 links between daemons, 400 ownership, 500 table and targets, 600 catalogue
and operators, 900 broken invariants.
"""

import enum
from typing import Any

import logbook


class Event(enum.Enum):
    """A log event: its number, its level and its meaning."""

    # Life cycle.
    started = (101, logbook.NOTICE, 'The daemon accepts requests.')
    stopping = (102, logbook.NOTICE, 'The daemon was asked to stop.')
    stopped = (103, logbook.NOTICE, 'The daemon has stopped.')
    reloaded = (105, logbook.NOTICE, 'The settings were reloaded.')
    reload_failed = (106, logbook.ERROR, 'The new settings were rejected.')
    answers_unsent = (
        107,
        logbook.WARNING,
        'Connections may be closed before their answers are sent.',
    )
    accept_failed = (
        108,
        logbook.ERROR,
        'A connection of a caller could not be accepted.',
    )
    port_taken = (
        116,
        logbook.WARNING,
        'A port can not be listened on yet, and is tried again.',
    )
    port_free = (118, logbook.NOTICE, 'A port is listened on, after tries.')
    start_failed = (
        119,
        logbook.CRITICAL,
        'The daemon ends, since it could not listen on a port.',
    )
    stop_failed = (110, logbook.ERROR, 'A step of the stop has failed.')
    task_failed = (104, logbook.ERROR, 'A background task has failed.')
    exception_unhandled = (
        120,
        logbook.ERROR,
        'A library caught an exception that this program did not handle.',
    )
    library_warned = (121, logbook.WARNING, 'A library logged a warning.')
    stood_still = (
        122,
        logbook.WARNING,
        'The event loop of this process did not run for a time.',
    )

    # Request path.
    request_refused = (201, logbook.INFO, 'A request was refused.')
    attempt_failed = (202, logbook.INFO, 'A target did not serve a request.')

    helper_failed = (204, logbook.INFO, 'A helper did not pass a request on.')
    carrying_refused = (
        205,
        logbook.INFO,
        'A request of another daemon was refused.',
    )
    carrying_failed = (
        206,
        logbook.INFO,
        'A request of another daemon got no whole answer.',
    )
    request_duplicated = (
        207,
        logbook.INFO,
        'A request is also passed on, since its path is down.',
    )
    request_suspected = (
        208,
        logbook.NOTICE,
        'A request was at work where a target crashed.',
    )
    request_quarantined = (
        209,
        logbook.WARNING,
        'A request is sent to no target, since it crashed several.',
    )
    request_released = (
        211,
        logbook.NOTICE,
        'A request that was quarantined may be sent again.',
    )
    request_sent_late = (
        212,
        logbook.INFO,
        'A request is sent long after it came, or by old tables.',
    )
    quota_passed = (
        213,
        logbook.INFO,
        'Requests of a customer over its limit are refused.',
    )
    key_refused = (
        214,
        logbook.INFO,
        'Requests without the key of a customer are refused.',
    )
    room_short = (
        215,
        logbook.NOTICE,
        'Requests are refused since a service has too little room for them.',
    )
    answer_unsent = (
        220,
        logbook.INFO,
        'A caller left while a long answer was sent to it.',
    )
    memory_waited_for = (
        221,
        logbook.INFO,
        'A request got no memory for its body in time.',
    )
    shares_bind = (
        230,
        logbook.NOTICE,
        'Requests to a service, or to an owner of keys, need a place there.',
    )

    connections_closed = (
        241,
        logbook.WARNING,
        'Connections of callers were closed: too many, too slow or too large.',
    )

    # Links between daemons.
    link_refused = (302, logbook.ERROR, 'A peer failed authentication.')
    link_rubbish = (303, logbook.ERROR, 'A peer sent an invalid message.')
    type_skipped = (
        309,
        logbook.NOTICE,
        'Messages of a type that this build does not know are skipped.',
    )
    peer_version_changed = (
        310,
        logbook.NOTICE,
        'A peer runs a build with another version of the messages, or did.',
    )
    quota_keepers_changed = (
        311,
        logbook.INFO,
        'The daemons among which the keepers of customers are chosen changed.',
    )
    link_out_of_step = (
        308,
        logbook.WARNING,
        'A change does not apply to the known version of a row.',
    )
    peer_unreachable = (307, logbook.WARNING, 'A peer could not be reached.')

    # Ownership.
    authority_lost = (411, logbook.WARNING, 'This daemon lost the lease.')
    leader_taken = (440, logbook.NOTICE, 'This daemon became leader.')
    leader_lost = (441, logbook.WARNING, 'This daemon lost leadership.')
    terms_short = (
        460,
        logbook.ERROR,
        'Terms of this daemon as leader end soon, several times in a row.',
    )
    owners_in_doubt = (
        461,
        logbook.ERROR,
        'Grants may be in force that the store has lost: keys wait for them.',
    )
    resign_late = (
        442,
        logbook.WARNING,
        'The lease was not resigned in time and will lapse.',
    )
    election_failed = (
        445,
        logbook.NOTICE,
        'An attempt to lead has failed; logged once a reason, then rarely.',
    )
    election_hindered = (
        446,
        logbook.WARNING,
        'Attempts to lead have failed several times for one reason.',
    )
    leader_missing = (447, logbook.NOTICE, 'This daemon has no leader.')
    leader_missing_long = (
        448,
        logbook.WARNING,
        'This daemon has had no leader for too long.',
    )
    leader_found = (
        449,
        logbook.NOTICE,
        'This daemon leads, or follows a leader, after a time without one.',
    )
    leader_handed_over = (
        444,
        logbook.NOTICE,
        'A leader gave way to daemons that reach more targets.',
    )
    leader_silent = (443, logbook.WARNING, 'Contact with the leader was lost.')
    grant_failed = (450, logbook.WARNING, 'A target did not accept keys.')
    keys_leaving = (454, logbook.INFO, 'Keys are moved away from a target.')
    keys_released = (451, logbook.INFO, 'A target released keys.')
    release_failed = (452, logbook.WARNING, 'A target did not release keys.')
    owner_ended = (
        455,
        logbook.NOTICE,
        'Another target has the address of an owner of keys, which has ended.',
    )
    keys_assigned = (453, logbook.INFO, 'Keys were assigned to targets.')
    keys_granted = (
        456,
        logbook.INFO,
        'A process of a target accepted keys with a fence for the first time.',
    )
    keys_freed = (457, logbook.INFO, 'Keys may have another owner.')
    keys_inherited = (
        458,
        logbook.NOTICE,
        'A leader began with the owners of keys that earlier ones had written.',
    )
    owners_unknown = (
        459,
        logbook.ERROR,
        'The stored owners of keys cannot be read, so none are assigned.',
    )
    keys_unserved = (
        470,
        logbook.ERROR,
        'No key of a service is served by its owner.',
    )
    keys_unserved_changed = (
        471,
        logbook.ERROR,
        'Another cause is the most frequent one of keys that are not served.',
    )
    keys_served_again = (
        472,
        logbook.NOTICE,
        'Keys of a service are served again, or no longer requested.',
    )

    # Table and targets.
    table_unavailable = (501, logbook.WARNING, 'The table does not answer.')
    table_answers_again = (502, logbook.NOTICE, 'The table answers again.')
    history_lost = (503, logbook.WARNING, 'A table must be reread in full.')
    store_followed = (504, logbook.NOTICE, 'The store is followed directly.')
    tables_behind = (
        505,
        logbook.NOTICE,
        'Other daemons know newer versions of tables than this one.',
    )
    tables_caught_up = (
        506,
        logbook.NOTICE,
        'This daemon knows the versions of tables that others knew.',
    )
    version_rejected = (
        507,
        logbook.WARNING,
        'The store has no such version of a table as another daemon claims.',
    )
    version_disproved = (
        508,
        logbook.ERROR,
        'The known version of a table is above that of the store, twice.',
    )
    writes_lost = (
        509,
        logbook.ERROR,
        'The store has an earlier row than it had: it has lost writes.',
    )
    entry_rejected = (511, logbook.WARNING, 'An entry is invalid.')
    entry_failed = (
        512,
        logbook.ERROR,
        'An entry could not be applied because of a fault of the program.',
    )
    target_seen = (520, logbook.INFO, 'A target was added or changed.')
    target_gone = (521, logbook.INFO, 'A target was removed.')
    target_limit_changed = (
        523,
        logbook.NOTICE,
        'A limit that a target named began, changed or ended.',
    )
    target_leaving = (
        524,
        logbook.NOTICE,
        'A target said in an answer that it leaves.',
    )
    target_paused = (
        525,
        logbook.NOTICE,
        'A target asked this daemon for a pause.',
    )
    target_replaced = (
        526,
        logbook.NOTICE,
        'Another target answered at the address of one, which has ended.',
    )
    data_centre_changed = (522, logbook.NOTICE, 'Data centre states changed.')

    cut_off_from_targets = (
        530,
        logbook.WARNING,
        'This daemon reaches no target, of several tried.',
    )
    targets_reached_again = (
        531,
        logbook.NOTICE,
        'This daemon reaches targets again.',
    )

    # Catalogue and operators.
    catalogue_adopted = (601, logbook.NOTICE, 'A new catalogue is in force.')
    operator_refused = (602, logbook.WARNING, 'An operator call was refused.')

    # Broken invariants.
    invariant_broken = (901, logbook.CRITICAL, 'An invariant was violated.')

    def __init__(self, number: int, level: int, sentence: str) -> None:
        """Set the attributes from the member's value."""
        self.number = number
        self.level = level
        self.sentence = sentence


_logger = logbook.Logger('cassialever')


def record(event: Event, **fields: Any) -> None:
    """Log an event with its fields, which must not contain secrets."""
    formatted = [f'{name}={field}' for name, field in fields.items()]
    _logger.log(
        event.level,
        ' '.join((str(event.number), event.name, *formatted)),
        extra={
            'event': event.number,
            'name': event.name,
            'fields': fields,
        },
    )
