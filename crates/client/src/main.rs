//! Operator client of sassafrasslip.

fn main() {}
