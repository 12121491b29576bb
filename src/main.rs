//! Binary of comfreymill.

fn main() {}
