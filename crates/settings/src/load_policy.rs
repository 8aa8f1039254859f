//! The policy under load, which entries and agents are told alike.

use crate::field_reader::FieldReader;

/// How a process treats load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPolicy {
    /// Weighted choice of servers, classes, admission by share.
    Balanced,
    /// Random choice of servers, one queue, no admission; the baseline that
    /// measurements compare with.
    Plain,
}

/// Read the policy of a settings file.
pub fn read_policy(fields: &FieldReader<'_>) -> LoadPolicy {
    fields.word(
        "policy",
        &[
            ("balanced", LoadPolicy::Balanced),
            ("plain", LoadPolicy::Plain),
        ],
    )
}
