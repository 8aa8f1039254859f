//! Evidence from another entry: what is odd is left out, and the rest holds.

use std::time::Duration;

use domain::crash_evidence::{REPORT_PARTS_MAX, REPORTS_MAX};
use proptest::prelude::*;
use rstest::rstest;
use tokio::time::Instant;
use wire::crash_evidence::{CrashMessage, EvidenceMessage};

fn report(id: u64) -> CrashMessage {
    CrashMessage {
        id,
        server: "i1".to_owned(),
        seen_by: "front-1".to_owned(),
        age_ms: 20,
        begun_ms: 80,
        parts: vec![7],
    }
}

/// Far enough from the start of the clock for any age in these tests.
fn now() -> Instant {
    Instant::now() + Duration::from_secs(100_000)
}

#[rstest]
#[case::no_server(CrashMessage { server: String::new(), ..report(1) })]
#[case::long_name(CrashMessage { seen_by: "x".repeat(300), ..report(1) })]
#[case::no_parts(CrashMessage { parts: Vec::new(), ..report(1) })]
#[case::many_parts(CrashMessage { parts: vec![1; REPORT_PARTS_MAX + 1], ..report(1) })]
#[case::old(CrashMessage { age_ms: u64::MAX, ..report(1) })]
#[case::long_run(CrashMessage { begun_ms: u64::MAX, ..report(1) })]
fn odd_report_is_left_out(#[case] odd: CrashMessage) {
    let message = EvidenceMessage {
        reports: vec![odd, report(2)],
        acquittals: Vec::new(),
    };
    let ids: Vec<u64> = message
        .decode(now())
        .reports
        .iter()
        .map(|report| report.id.into())
        .collect();
    assert_eq!(ids, [2]);
}

#[test]
fn number_of_reports_is_bounded() {
    let message = EvidenceMessage {
        reports: (0..10_000).map(report).collect(),
        acquittals: Vec::new(),
    };
    assert_eq!(message.decode(now()).reports.len(), REPORTS_MAX);
}

proptest! {
    #[test]
    fn evidence_is_decoded_as_it_was_encoded(
        ids in prop::collection::vec(any::<u64>(), 0..10),
        age_ms in 0_u64..10_000_000,
        begun_ms in 0_u64..10_000_000,
        parts in prop::collection::vec(any::<u64>(), 1..REPORT_PARTS_MAX),
    ) {
        let now = now();
        let message = EvidenceMessage {
            reports: ids
                .into_iter()
                .map(|id| CrashMessage { age_ms, begun_ms, parts: parts.clone(), ..report(id) })
                .collect(),
            acquittals: Vec::new(),
        };
        let decoded = message.clone().decode(now);
        prop_assert_eq!(EvidenceMessage::encode(&decoded, now), message);
    }

    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = serde_json::from_slice::<EvidenceMessage>(&bytes) {
            let _ = message.decode(now());
        }
    }
}
