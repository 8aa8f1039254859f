//! Fields that are left out of small messages.

/// Whether a field says no more than its absence would.
pub fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
