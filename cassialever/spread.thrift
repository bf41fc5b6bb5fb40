// How the catalogue spreads between daemons. A field is never renumbered or
// used again; an older daemon skips the fields that it doesn't know.

namespace py cassialever.spread

struct CatalogueHeld {
  1: i64 version
}

struct CatalogueWanted {
  1: i64 version
}

struct CatalogueChanges {
  1: i64 first
  2: binary body
}

struct CatalogueWhole {
  1: i64 version
  2: binary body
}
