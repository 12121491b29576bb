//! Tables of the rules, one by one.
