//! Each checker of the soak finds the promise that a double breaks, and a short
//! run with a fixed seed breaks none.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use stand_ins::{LinkMode, RowStore, WorkerRun};
use tokio::time::Instant;
use xtask::soak::{
    self, ArrivalRecord, BrokenPromise, CallRecord, LeavingRecord, MarkRecord, OnceRecord,
    RolloutRecord, SoakOptions, SoakSite, SoakStore, SoakWitness, StreamRecord, rollout_faults,
};

fn call(id: &str, status: u16, seal: &str, body: &str) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        entry: 1,
        is_cut: false,
        status: Some(status),
        seal: Some(seal.to_owned()),
        body: body.to_owned(),
    }
}

fn mark(version: u64, sent: u64, found: bool) -> MarkRecord {
    MarkRecord {
        lifetime: 1,
        version,
        sent,
        answered: sent + 1,
        found: Some(found),
    }
}

#[rstest]
#[case::served(call("r1", 200, "seal-r1", "ok"), &["r1"], None)]
#[case::refused(call("r1", 503, "", ""), &[], None)]
#[case::unknown(call("r1", 502, "", ""), &["r1"], None)]
#[case::twice(
    call("r1", 200, "seal-r1", "ok"), &["r1", "r1"], Some(BrokenPromise::RanTwice("r1".into(), 2))
)]
#[case::untrue(
    call("r1", 503, "", ""), &["r1"], Some(BrokenPromise::RefusedAndRan("r1".into()))
)]
#[case::of_another(
    call("r1", 200, "seal-r2", "ok"), &["r1"], Some(BrokenPromise::ForeignAnswer("r1".into()))
)]
#[case::cut(
    call("r1", 200, "seal-r1", "o"), &["r1"], Some(BrokenPromise::ForeignAnswer("r1".into()))
)]
#[case::from_nowhere(
    call("r1", 200, "seal-r1", "ok"), &[], Some(BrokenPromise::ForeignAnswer("r1".into()))
)]
fn bookings(
    #[case] record: CallRecord,
    #[case] ran: &[&str],
    #[case] expected: Option<BrokenPromise>,
) {
    let witness = SoakWitness::default();
    witness.note_call(record);
    let ran: Vec<String> = ran.iter().map(ToString::to_string).collect();
    assert_eq!(witness.broken(&ran), Vec::from_iter(expected));
}

#[rstest]
#[case::whole((1..=30).collect(), true, false)]
#[case::cut((1..=7).collect(), false, false)]
#[case::early((1..=29).collect(), true, true)]
#[case::missing(vec![1, 2, 4], false, true)]
#[case::repeated(vec![1, 2, 2, 3], false, true)]
fn streams(#[case] positions: Vec<u64>, #[case] complete: bool, #[case] broken: bool) {
    let witness = SoakWitness::default();
    witness.note_stream(StreamRecord {
        id: "r1".to_owned(),
        positions,
        complete,
    });
    assert_eq!(!witness.broken(&[]).is_empty(), broken);
}

#[rstest]
#[case::not_yet(&[mark(2, 1, false), mark(2, 3, true)], false)]
#[case::back(&[mark(2, 1, true), mark(2, 3, false)], true)]
#[case::older_back(&[mark(5, 1, true), mark(2, 3, false)], true)]
#[case::crossed(&[mark(2, 1, true), mark(2, 2, false)], false)]
fn desired_states(#[case] marks: &[MarkRecord], #[case] broken: bool) {
    let witness = SoakWitness::default();
    marks
        .iter()
        .cloned()
        .for_each(|mark| witness.note_mark(mark));
    assert_eq!(!witness.broken(&[]).is_empty(), broken);
}

/// Seconds between the leaving answer and the arrival, at which lifetime of the worker,
/// and from which entry.
#[rstest]
#[case::in_time(1.9, "w.0", 1, false)]
#[case::late(2.1, "w.0", 1, true)]
#[case::other_lifetime(9.0, "w.1", 1, false)]
#[case::other_entry(9.0, "w.0", 2, false)]
fn leaving_workers(
    #[case] seconds: f64,
    #[case] worker: &str,
    #[case] entry: u64,
    #[case] broken: bool,
) {
    let witness = SoakWitness::default();
    let at = Instant::now();
    witness.note_leaving(LeavingRecord {
        entry: 1,
        worker: "w.0".to_owned(),
        at,
    });
    let arrival = ArrivalRecord {
        entry,
        worker: worker.to_owned(),
        at: at + Duration::from_secs_f64(seconds),
    };
    assert_eq!(!witness.sent_to_leaving(&[arrival]).is_empty(), broken);
}

#[rstest]
#[case::served(Some(200), &["r1"], None)]
#[case::unknown(Some(502), &["r1"], None)]
#[case::refused(Some(503), &[], None)]
#[case::twice(Some(200), &["r1", "r1"], Some(BrokenPromise::RanTwice("r1".into(), 2)))]
#[case::untrue(Some(503), &["r1"], Some(BrokenPromise::RefusedAndRan("r1".into())))]
fn streams_that_run_once(
    #[case] status: Option<u16>,
    #[case] ran: &[&str],
    #[case] expected: Option<BrokenPromise>,
) {
    let witness = SoakWitness::default();
    witness.note_once(OnceRecord {
        id: "r1".to_owned(),
        entry: 1,
        status,
        is_cut: false,
    });
    let ran: Vec<String> = ran.iter().map(ToString::to_string).collect();
    assert_eq!(witness.broken(&ran), Vec::from_iter(expected));
}

fn run(id: &str, path: &str, service: &'static str) -> WorkerRun {
    WorkerRun {
        id: id.to_owned(),
        path: path.to_owned(),
        service: Some(service),
        is_broken_off: false,
        at: Instant::now(),
    }
}

/// Whether the connection ended, whether the request ran, and whether its entry was
/// killed or paused.
#[rstest]
#[case::lost(true, true, false, true)]
#[case::answered(false, true, false, false)]
#[case::not_passed_on(true, false, false, false)]
#[case::entry_killed(true, true, true, false)]
fn answers_of_stopped_entries(
    #[case] is_cut: bool,
    #[case] has_run: bool,
    #[case] is_harmed: bool,
    #[case] broken: bool,
    #[values(true, false)] is_stream: bool,
) {
    let lost = lost_answers(is_stream, is_cut, has_run, is_harmed, false);
    let expected = broken.then(|| BrokenPromise::LostAnswer("r1".into(), 7));
    assert_eq!(lost, Vec::from_iter(expected));
}

/// A stream that its worker breaks off ends with its connection; a call is answered.
#[rstest]
#[case::stream(true, false)]
#[case::call(false, true)]
fn answers_that_workers_break_off(#[case] is_stream: bool, #[case] broken: bool) {
    let lost = lost_answers(is_stream, true, true, false, true);
    assert_eq!(!lost.is_empty(), broken);
}

fn lost_answers(
    is_stream: bool,
    is_cut: bool,
    has_run: bool,
    is_harmed: bool,
    is_broken_off: bool,
) -> Vec<BrokenPromise> {
    let witness = SoakWitness::default();
    if is_stream {
        witness.note_once(OnceRecord {
            id: "r1".to_owned(),
            entry: 7,
            status: None,
            is_cut,
        });
    } else {
        witness.note_call(CallRecord {
            entry: 7,
            is_cut,
            status: None,
            ..call("r1", 0, "", "")
        });
    }
    let run = WorkerRun {
        is_broken_off,
        ..run("r1", "/any/1", "any")
    };
    let runs: Vec<WorkerRun> = has_run.then_some(run).into_iter().collect();
    let harmed = is_harmed.then_some(7).into_iter().collect();
    witness.lost_answers(&runs, &harmed)
}

#[rstest]
#[case("r1", "/book/1", "desk", false)]
#[case("r1", "/mark-3/1", "desk", false)]
#[case("r1", "/report/1", "pool", false)]
#[case("r1", "/book/1", "pool", true)]
#[case("r1", "/report/1", "desk", true)]
#[case("r1", "/once/1", "desk", true)]
#[case("", "/v1/kv-move", "pool", false)]
fn services_of_runs(
    #[case] id: &str,
    #[case] path: &str,
    #[case] service: &'static str,
    #[case] broken: bool,
) {
    let runs = [run(id, path, service)];
    assert_eq!(!soak::wrong_services(&runs).is_empty(), broken);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn short_run_breaks_no_promise(#[values(1, 2, 3)] seed: u64) -> miette::Result<()> {
    let options = SoakOptions {
        seed,
        seconds: 12,
        entries: 4,
    };
    soak::run(options).await
}

/// Entries that never find their store again after all died are noticed.
#[tokio::test(flavor = "multi_thread")]
async fn entries_that_do_not_serve_again() {
    let site = SoakSite::start(1, 4).await.expect("a site");
    let all_links = |mode| (0..site.link_count()).for_each(|link| site.set_link(link, mode));
    all_links(LinkMode::Cut);
    (0..site.entry_count()).for_each(|entry| site.signal(entry, Signal::SIGKILL));
    assert!(!soak::recovers(&site, 25).await);
    all_links(LinkMode::Pass);
    assert!(soak::recovers(&site, 1_500).await);
}

/// Workers that have left are replaced when the faults end; with none at a service, no entry
/// can serve it.
#[tokio::test(flavor = "multi_thread")]
async fn services_whose_workers_all_left() {
    let site = SoakSite::start(1, 4).await.expect("a site");
    assert!(soak::recovers(&site, 1_500).await);
    (0..site.worker_count()).for_each(|worker| site.turn_worker(worker));
    // An entry learns from an answer that its worker leaves.
    while soak::recovers(&site, 25).await {}
    soak::end_faults(&site);
    assert!(soak::recovers(&site, 1_500).await);
}

/// Entries that never learn of the newest desired state are noticed.
#[tokio::test(flavor = "multi_thread")]
async fn entries_without_the_newest_state() {
    let site = SoakSite::start(1, 4).await.expect("a site");
    let all_links = |mode| (0..site.link_count()).for_each(|link| site.set_link(link, mode));
    assert!(soak::recovers(&site, 1_500).await);
    // A store that only refuses still answers the calls that it holds.
    all_links(LinkMode::Cut);
    site.publish();
    assert!(!soak::has_newest_state(&site, 25).await);
    all_links(LinkMode::Pass);
    assert!(soak::has_newest_state(&site, 1_500).await);
}

/// What the operator and the workers wrote is there again after a return of the store.
#[tokio::test]
async fn lost_rows_are_written_again() {
    let mut rng = SmallRng::seed_from_u64(1);
    let rows = RowStore::start().await.expect("a port");
    let store = SoakStore::new(rows.clone());
    store.put("op", "config", b"1");
    store.put("servers", "gone", b"1");
    store.keep_copy();
    store.put("op", "config", b"2");
    store.put("servers", "new", b"1");
    store.remove("servers", "gone");
    assert!(store.restore(&mut rng));
    assert_eq!(rows.value("op", "config").as_deref(), Some(&b"1"[..]));
    store.write_again(rng).await;
    assert_eq!(rows.value("op", "config").as_deref(), Some(&b"2"[..]));
    assert_eq!(rows.keys("servers"), ["new"]);
}

/// Two sites of one process have entries of their own.
#[tokio::test(flavor = "multi_thread")]
async fn sites_do_not_meet() {
    let sites = [SoakSite::start(1, 4).await, SoakSite::start(2, 4).await];
    let sites = sites.map(|site| site.expect("a site"));
    for number in 0..sites[0].entry_count() {
        let [first, second] = sites.each_ref().map(|site| site.entry(number).0);
        assert_ne!(first, second);
    }
}

/// `count` requests at the new version, one each `step_ms`, of 1,000 at all.
#[rstest]
#[case::served(false, 900, 5, Some("finished"), None)]
#[case::reverted(true, 40, 20, Some("reverted"), None)]
#[case::exposed(true, 300, 5, None, Some(BrokenPromise::Exposed("t1".into(), 300)))]
#[case::late(true, 180, 200, None, Some(BrokenPromise::NotRolledBack("t1".into())))]
#[case::finished(true, 10, 20, Some("finished"), Some(BrokenPromise::BadFinished("t1".into())))]
fn rollouts(
    #[case] is_bad: bool,
    #[case] count: u64,
    #[case] step_ms: u64,
    #[case] state: Option<&str>,
    #[case] expected: Option<BrokenPromise>,
) {
    let ordered_at = Instant::now();
    let arrival = |number| ordered_at + Duration::from_millis(number * step_ms);
    let record = RolloutRecord {
        version: "t1".to_owned(),
        is_bad,
        ordered_at,
        arrivals: 1_000,
        new_arrivals: (0..count).map(arrival).collect(),
        state: state.map(str::to_owned),
    };
    assert_eq!(rollout_faults(&record), Vec::from_iter(expected));
}
