// Leases, authority and maps between daemons. A field is never renumbered or
// used again; an older daemon skips the fields that it doesn't know.

namespace py cassialever.control

struct LeaseReport {
  1: string target_id
  2: i64 fence
  3: bool live
  4: bool stopped
  5: bool settled
  6: bool accepted
  7: bool reachable
  8: i64 target_incarnation
  9: binary loads
}

struct Heartbeat {
  1: i64 sequence
  2: i64 epoch
  3: list<LeaseReport> reports
  4: string rack
  5: bool stopping
}

struct LeaseGrant {
  1: string target_id
  2: i64 fence
  3: bool stop
  4: bool has_slices
  5: binary slices
}

struct HeartbeatAnswer {
  1: i64 sequence
  2: i64 epoch
  3: i64 incarnation
  4: double term
  5: list<LeaseGrant> grants
}

struct HeartbeatWanted {
  1: i64 epoch
  2: string coordinator
}

struct PromiseWanted {
  1: i64 sequence
  2: i64 epoch
  3: i64 row_version
}

struct Promise {
  1: i64 sequence
  2: i64 epoch
}

struct Renounced {
  1: i64 epoch
}

struct HandOver {
  1: i64 epoch
  2: i64 row_version
}

struct MapAnnounced {
  1: string data_centre
  2: binary body
}
