//! Settings whose value is one of a fixed set of words.

use std::{error::Error, fmt};

/// Failure to parse a setting whose value is not one of its allowed words.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChoiceError {
    /// Allowed words, in the order of their declaration.
    pub expected: &'static [&'static str],
}

impl fmt::Display for ChoiceError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "expected one of {}", self.expected.join(", "))
    }
}

impl Error for ChoiceError {}

/// Declares an enumeration and parses each of its values from the word given for it.
macro_rules! setting_choices {
    ($(#[$meta:meta])* pub enum $choice:ident { $($(#[$item:meta])* $value:ident = $word:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, serde_with::DeserializeFromStr, Eq, PartialEq)]
        pub enum $choice { $($(#[$item])* $value,)* }

        impl $choice {
            /// Words of all values, in the order of their declaration.
            pub const WORDS: &'static [&'static str] = &[$($word,)*];
        }

        impl std::str::FromStr for $choice {
            type Err = $crate::options::choice::ChoiceError;

            fn from_str(word: &str) -> std::result::Result<Self, Self::Err> {
                match word {
                    $($word => Ok(Self::$value),)*
                    _ => Err($crate::options::choice::ChoiceError { expected: Self::WORDS }),
                }
            }
        }
    };
}

pub(crate) use setting_choices;
