"""Log what daemons learn of the limits that targets name."""

from cassialever.events import Event, record
from cassialever.policy.limits import LimitSource, TargetLimit


def log_change(limit: TargetLimit, source: LimitSource) -> None:
    """Log that a limit has begun, changed or ended, and who said so."""
    record(
        Event.target_limit_changed,
        target=limit.target_id,
        started_at=limit.started_at,
        rate=limit.rate if limit.is_in_force else None,
        learned_from=source.peer or 'an answer',
    )
