//! The derive macro that gives data types their common traits.

/// Declares types with a common set of derives.
///
/// `common!(data ...)` derives `Clone`, `Debug`, `PartialEq`; `common!(value ...)` adds `Copy`, `Eq`, `Hash`,
/// `PartialOrd` and `Ord` for small values; `common!(message ...)` is `data` plus `Eq`, `Serialize` and
/// `Deserialize` with unknown fields refused. Several items may follow one keyword.
///
/// ```
/// jaystand_types::common! { value
///     /// A slot of a shard.
///     pub struct Slot(pub u32);
/// }
/// assert_eq!(Slot(1), Slot(1));
/// ```
#[macro_export]
macro_rules! common {
    (data $($item:item)+) => {
        $(#[derive(Clone, Debug, PartialEq)] $item)+
    };
    (value $($item:item)+) => {
        $(#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)] $item)+
    };
    (message $($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, $crate::serde::Serialize, $crate::serde::Deserialize)]
            #[serde(crate = "jaystand_types::serde", deny_unknown_fields)]
            $item
        )+
    };
}
