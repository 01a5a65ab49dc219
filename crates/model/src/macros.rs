//! Macros for value types with common derives.

/// Declares a value type with the common derives.
macro_rules! value {
    ($(#[$meta:meta])* $vis:vis struct $($rest:tt)*) => {
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $(#[$meta])*
        $vis struct $($rest)*
    };
}

/// Declares a text identifier: 1 to 63 characters of `a-z`, `0-9`, `-`, `_` and `.`.
macro_rules! text_id {
    ($(#[$meta:meta])* $name:ident) => {
        crate::macros::value! {
            $(#[$meta])*
            #[derive(serde_with::DeserializeFromStr, serde_with::SerializeDisplay, schemars::JsonSchema)]
            #[schemars(with = "String")]
            pub struct $name(std::sync::Arc<str>);
        }

        impl $name {
            /// Text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::id::IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                crate::id::check(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

/// Declares a number type that displays and parses as a plain integer.
macro_rules! number {
    ($(#[$meta:meta])* $name:ident) => {
        crate::macros::value! {
            $(#[$meta])*
            #[derive(Copy, Default, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
            #[serde(transparent)]
            pub struct $name(pub u64);
        }

        impl $name {
            /// The next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

pub(crate) use {number, text_id, value};
