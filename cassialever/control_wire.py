"""How control messages of ownership travel between daemons."""

from typing import Final

from cassialever import codec
from cassialever.control_messages import (
    HandOver,
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatWanted,
    LeaseGrant,
    LeaseReport,
    Promise,
    PromiseWanted,
    Renounced,
)
from cassialever.map_messages import MapAnnounced

CONTROL_THRIFT: Final = codec.load_thrift('control.thrift')

HEARTBEAT_NUMBER: Final = 170
HEARTBEAT_ANSWER_NUMBER: Final = 171
HEARTBEAT_WANTED_NUMBER: Final = 172
PROMISE_WANTED_NUMBER: Final = 173
PROMISE_NUMBER: Final = 174
HAND_OVER_NUMBER: Final = 175
MAP_NUMBER: Final = 176
RENOUNCED_NUMBER: Final = 177

#: What the ownership core hears from other daemons.
OWNERSHIP_MESSAGES: Final = (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatWanted,
    PromiseWanted,
    Promise,
    Renounced,
    HandOver,
)

codec.register_struct(LeaseReport, CONTROL_THRIFT.LeaseReport)
codec.register_struct(LeaseGrant, CONTROL_THRIFT.LeaseGrant)
codec.register(HEARTBEAT_NUMBER, Heartbeat, CONTROL_THRIFT.Heartbeat)
codec.register(
    HEARTBEAT_ANSWER_NUMBER,
    HeartbeatAnswer,
    CONTROL_THRIFT.HeartbeatAnswer,
)
codec.register(
    HEARTBEAT_WANTED_NUMBER,
    HeartbeatWanted,
    CONTROL_THRIFT.HeartbeatWanted,
)
codec.register(
    PROMISE_WANTED_NUMBER,
    PromiseWanted,
    CONTROL_THRIFT.PromiseWanted,
)
codec.register(PROMISE_NUMBER, Promise, CONTROL_THRIFT.Promise)
codec.register(RENOUNCED_NUMBER, Renounced, CONTROL_THRIFT.Renounced)
codec.register(HAND_OVER_NUMBER, HandOver, CONTROL_THRIFT.HandOver)
codec.register(MAP_NUMBER, MapAnnounced, CONTROL_THRIFT.MapAnnounced)
