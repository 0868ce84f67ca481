//! Macro for tests that run one check on a table of named cases.

/// Declares one `#[test]` function for each named case of a check function, or one
/// `#[tokio::test]` function if the check is asynchronous.
///
/// ```ignore
/// test_cases! {
///     fn check_parse(text: &str, expected: Option<u64>);
///     accepts_a_number: ("7", Some(7));
///     refuses_a_word: ("seven", None);
/// }
/// ```
///
/// The check is an ordinary function of the test file. Its signature in the macro is for the reader
/// only; the compiler checks the values of each case against the function itself.
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
    (async fn $check:ident $signature:tt; $($name:ident: $values:tt;)+) => {
        $(
            #[tokio::test]
            async fn $name() {
                $check $values.await;
            }
        )+
    };
}
