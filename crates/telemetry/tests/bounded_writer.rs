//! A reader that stops reading stops nobody who logs.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
};

use telemetry::{BoundedWriter, dropped_lines};

/// Output that takes nothing until it is let go.
struct HeldOutput {
    entered: Sender<()>,
    go: Receiver<()>,
    written: Sender<usize>,
}

impl Write for HeldOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.entered.send(()).map_err(io::Error::other)?;
        self.go.recv().map_err(io::Error::other)?;
        self.written.send(bytes.len()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Drops are counted for the whole process, so this is one test.
#[test]
fn full_queue_drops_routine_lines_first_and_counts() {
    let (go, held) = channel();
    let (written, lengths) = channel();
    let (entered, inside) = channel();
    let writer = BoundedWriter::start(HeldOutput {
        entered,
        go: held,
        written,
    });
    let offer = |count: usize, is_routine| {
        let before = dropped_lines();
        (0..count).for_each(|_| writer.offer(b"line\n".to_vec(), is_routine));
        dropped_lines() - before
    };
    offer(1, false);
    inside.recv().expect("the writer writes");
    assert_eq!(offer(300, true), 0);
    assert_eq!(offer(700, false), 0);
    assert_eq!(offer(10, true), 10, "the queue is a quarter full");
    assert_eq!(offer(500, false), 0, "a refusal is still kept");
    assert!(offer(4_000, false) > 0, "a full queue drops all");
    (0..3).for_each(|_| go.send(()).expect("the writer waits"));
    assert_eq!(lengths.recv().expect("the first batch"), 5);
}
