//! A macro for the derives that most types share.

/// Declares types with the common derives.
///
/// A plain declaration gets `Clone`, `Debug`, `PartialEq`, `Serialize` and
/// `Deserialize`. One marked `copy` gets `Copy`, `Eq`, `Hash` and the
/// orderings too.
///
/// # Examples
///
/// ```
/// tarragonseam_board::record! {
///     /// A position.
///     copy pub struct Point {
///         /// Columns from the left.
///         pub x: u32,
///     }
/// }
/// assert_eq!(Point { x: 1 }, Point { x: 1 });
/// ```
#[macro_export]
macro_rules! record {
    ($(#[$meta:meta])* copy $vis:vis $kind:ident $name:ident $($body:tt)*) => {
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
            ::serde::Serialize, ::serde::Deserialize,
        )]
        $(#[$meta])*
        $vis $kind $name $($body)*
    };
    ($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $($body:tt)*) => {
        #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
        $(#[$meta])*
        $vis $kind $name $($body)*
    };
}
