//! Tests of the entry process with a failing store and failing backend servers.

mod adoption;
mod calls;
mod crashing_prompts;
mod endless;
mod entry_process;
mod explained;
mod leaving;
mod limits;
mod odd_rows;
mod peers;
mod planned_stop;
mod refusals;
mod reported;
mod reported_answers;
mod restored;
mod retry_room;
mod rollouts;
mod store_faults;
mod streams;
mod support;
mod urgency;
