/// Derives the common traits of data types: `Debug`, `Clone`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
#[macro_export]
macro_rules! plain {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Defines string identifiers that are validated on construction.
macro_rules! string_ids {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(::std::sync::Arc<str>);

            impl $name {
                /// Validates `text` as an identifier.
                ///
                /// # Errors
                ///
                /// Fails if `text` is empty, longer than [`MAX_ID_BYTES`] or contains a character other than ASCII
                /// letters, digits, `.`, `_`, `-` and `:`.
                pub fn new(text: impl AsRef<str>) -> Result<Self, IdError> {
                    validate(stringify!($name), text.as_ref()).map(|text| Self(text.into()))
                }

                /// The identifier as a string slice.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }

            impl TryFrom<String> for $name {
                type Error = IdError;

                fn try_from(text: String) -> Result<Self, IdError> {
                    Self::new(text)
                }
            }

            impl From<$name> for String {
                fn from(id: $name) -> Self {
                    id.0.as_ref().to_owned()
                }
            }
        )*
    };
}
