/// Derives the common set of traits of plain data types: they can be printed, copied by `clone`, compared and
/// serialized.
#[macro_export]
macro_rules! data_types {
    ($($item:item)*) => {
        $(
            #[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $item
        )*
    };
}

/// Defines string identifiers that are checked when they are made.
macro_rules! id {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(try_from = "String", into = "String")]
            pub struct $name(::std::sync::Arc<str>);

            impl $name {
                /// Checks `text` and makes an identifier of it.
                ///
                /// # Errors
                ///
                /// Fails if `text` is empty, longer than [`MAX_ID_BYTES`] or holds a character other than letters,
                /// digits, `.`, `_`, `-` and `:`.
                pub fn new(text: impl AsRef<str>) -> Result<Self, IdError> {
                    check(stringify!($name), text.as_ref()).map(|text| Self(text.into()))
                }

                /// The text of the identifier.
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
