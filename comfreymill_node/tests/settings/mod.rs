//! Settings files are read as a whole and every problem is named.

mod alone;
mod embedded;
mod machine;
mod nodes;
