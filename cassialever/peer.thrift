// Messages between daemons. A field is never renumbered or used again; an
// older daemon skips the fields that it doesn't know. A trailing underscore
// keeps a name apart from a word that thrift reserves. Pairs of texts, such
// as headers, are one list in which names and values take turns.

namespace py cassialever.peer

struct RequestHead {
  1: string request_id
  2: string caller
  3: string service_
  4: string target_id
  5: string method
  6: string path
  7: list<string> headers
  8: i64 time_left_ms
  9: bool repeatable
  10: bool has_body
  11: string key
  12: i64 slice_index
  13: i32 attempt
  14: string traceparent
  15: i64 catalogue_version
  16: bool claims
}

struct TargetLoad {
  1: string target_id
  2: i32 in_flight
  3: i32 queued
  4: i32 capacity
  5: double expected_ms
}

struct AnswerHead {
  1: i32 status
  2: list<string> headers
  3: TargetLoad load
}

struct EntryRef {
  1: string kind
  2: string name
  3: i64 version
}

struct Failure {
  1: string kind
  2: string reason
  3: EntryRef entry
  4: double retry_after
}
