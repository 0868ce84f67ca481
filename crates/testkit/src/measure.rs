//! Measurements of the request path, overload, map changes and routing; `scripts/measure.sh` runs
//! them.

pub mod machine;
pub mod map_change;
pub mod operator;
pub mod overload;
pub mod path;
pub mod process;
pub mod routing;
pub mod table;
