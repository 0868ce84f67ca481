//! Operator client of sassafrasslip.
