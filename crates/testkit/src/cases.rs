//! Tables of named test cases.

/// Declares one test for each named case of a check.
///
/// ```ignore
/// test_cases! {
///     fn check_parse(text: &str, expected: Option<u64>);
///     accepts_a_number: ("7", Some(7));
///     refuses_a_word: ("seven", None);
/// }
/// ```
///
/// The check itself is an ordinary function of the test file with the same arguments.
#[macro_export]
macro_rules! test_cases {
    (fn $check:ident $signature:tt; $($name:ident: $values:tt;)+) => {
        $(
            #[test]
            fn $name() {
                $check $values;
            }
        )+
    };
}
