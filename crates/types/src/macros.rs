//! The macro that derives the common traits of data types.

/// Declares types with a common set of derives. Several items may follow the keyword.
///
/// - `common!(data ...)` derives `Clone`, `Debug` and `PartialEq`.
/// - `common!(value ...)` is for small values and adds `Copy`, `Eq`, `Hash`, `PartialOrd` and `Ord` to those of `data`.
/// - `common!(identity ...)` is for small values without an order and adds `Copy`, `Eq` and `Hash` to those of `data`.
/// - `common!(message ...)` adds `Eq`, `Serialize` and `Deserialize` to those of `data`. Unknown fields are an error.
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
    (identity $($item:item)+) => {
        $(#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)] $item)+
    };
    (message $($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, $crate::serde::Serialize, $crate::serde::Deserialize)]
            #[serde(crate = "jaystand_types::serde", deny_unknown_fields)]
            $item
        )+
    };
}
