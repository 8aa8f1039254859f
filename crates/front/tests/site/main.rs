//! An entry as a real process, before a store and workers that fail.

mod beliefs;
mod calls;
mod entry_life;
mod peers;
mod streams;
mod support;
