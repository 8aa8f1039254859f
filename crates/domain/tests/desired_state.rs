//! Routing, authorization and version order of the desired state.

use std::time::Duration;

use domain::{
    ModelName, ServiceName, TeamName,
    desired_state::{
        ApiKey, CallerLimits, DesiredState, EngineSpec, RouteDecision, RouteKind, RouteQuery,
        RouteSpec, ServiceSpec, StateFreshness, StateVersion, TeamSpec, WeightedService,
    },
};
use rstest::rstest;
use tokio::time::Instant;

fn route(host: &str, prefix: &str, public: bool) -> RouteSpec {
    RouteSpec {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        latency_target: None,
        gap_target: None,
        priority: 3,
        attempts: 2,
        public,
        targets: vec![WeightedService {
            service: ServiceName::from("desk"),
            weight: 1.0,
        }],
    }
}

fn state(row: u64) -> DesiredState {
    state_of(StateVersion {
        number: 7,
        row: row.into(),
    })
}

fn state_of(version: StateVersion) -> DesiredState {
    let team = TeamSpec {
        name: TeamName::from("north"),
        keys: vec![ApiKey::from("k1")],
        priority: Some(1),
    };
    DesiredState::new(
        version,
        vec![
            route("a.example", "/x/", false),
            route("a.example", "/x/deep/", false),
            route("b.example", "/open/", true),
        ],
        Vec::new(),
        Some(vec![team]),
        CallerLimits::default(),
    )
}

#[track_caller]
fn check_authorization(host: &str, path: &str, key: Option<&str>, expected: &str) {
    let decision = state(1).authorize(RouteQuery { host, path, key });
    let found = match decision {
        RouteDecision::Allowed {
            route,
            team,
            urgency,
        } => {
            format!("{} {team:?} {urgency}", route.prefix)
        }
        RouteDecision::NoRoute => "no route".to_owned(),
        RouteDecision::UnknownKey => "unknown key".to_owned(),
    };
    assert_eq!(found, expected);
}

#[test]
fn longest_prefix_of_the_host_wins() {
    check_authorization(
        "a.example",
        "/x/1",
        Some("k1"),
        r#"/x/ Some(TeamName("north")) 1"#,
    );
    check_authorization(
        "A.Example",
        "/x/deep/1",
        Some("k1"),
        r#"/x/deep/ Some(TeamName("north")) 1"#,
    );
    check_authorization("b.example", "/x/1", Some("k1"), "no route");
    check_authorization("a.example", "/x", Some("k1"), "no route");
}

#[test]
fn team_is_determined_by_the_key_only() {
    check_authorization("a.example", "/x/1", None, "unknown key");
    check_authorization("a.example", "/x/1", Some("k2"), "unknown key");
    check_authorization("b.example", "/open/1", None, "/open/ None 3");
}

#[rstest]
#[case::later_row((7, 5), (7, 4), true)]
#[case::same((7, 4), (7, 4), false)]
#[case::earlier_row((7, 3), (7, 4), false)]
#[case::later_number_in_the_same_row((8, 4), (7, 4), true)]
#[case::later_number_in_an_earlier_row((8, 3), (7, 4), true)]
#[case::earlier_number_in_a_later_row((6, 9), (7, 4), false)]
fn only_a_newer_version_supersedes(
    #[case] offered: (u64, u64),
    #[case] known: (u64, u64),
    #[case] expected: bool,
) {
    let state = |(number, row): (u64, u64)| {
        let row = row.into();
        state_of(StateVersion { number, row })
    };
    assert_eq!(state(offered).supersedes(Some(&state(known))), expected);
}

#[test]
fn first_version_is_accepted() {
    assert!(state(1).supersedes(None));
}

#[rstest]
#[case(&[3.0, 1.0], 0.0, "s0")]
#[case(&[3.0, 1.0], 0.74, "s0")]
#[case(&[3.0, 1.0], 0.76, "s1")]
#[case(&[0.0, 0.0], 0.5, "s1")]
fn targets_are_picked_by_weight(
    #[case] weights: &[f64],
    #[case] draw: f64,
    #[case] expected: &str,
) {
    let mut route = route("a.example", "/x/", false);
    route.targets = weights
        .iter()
        .enumerate()
        .map(|(index, &weight)| WeightedService {
            service: ServiceName::from(format!("s{index}")),
            weight,
        })
        .collect();
    assert_eq!(
        route.pick_target(draw).map(ServiceName::as_str),
        Some(expected)
    );
}

#[tokio::test(start_paused = true)]
async fn permanent_denial_requires_a_recent_confirmation() {
    let now = Instant::now();
    let freshness = |confirmed_at| StateFreshness {
        confirmed_at,
        apply_limit: Duration::from_secs(2),
    };
    assert!(!freshness(None).may_deny(now));
    assert!(freshness(Some(now)).may_deny(now + Duration::from_secs(4)));
    assert!(!freshness(Some(now)).may_deny(now + Duration::from_millis(4_001)));
}

/// Checks whether the models of a server identify it as a server of the service
/// `writer`. Services are written as `NAME: MODELS`.
#[rstest]
#[case::only_in_the_service("writer: m, desk:", "m", true)]
#[case::one_of_two("writer: m n, canary: m", "m n", true)]
#[case::also_in_another("writer: m, canary: m", "m", false)]
#[case::only_in_another("writer: m, canary: n", "n", false)]
#[case::no_models_reported("writer: m", "", false)]
fn models_identify_a_service(#[case] services: &str, #[case] models: &str, #[case] expected: bool) {
    let names =
        |text: &str| -> Vec<ModelName> { text.split_whitespace().map(ModelName::from).collect() };
    let services = services.split(", ").map(|service| {
        let (name, models) = service.split_once(':').expect("a name");
        let models = names(models);
        ServiceSpec {
            name: ServiceName::from(name),
            health_path: "/healthz".into(),
            engine: (!models.is_empty()).then_some(EngineSpec {
                slots: 8,
                kv_tokens: 88_000,
                has_kv_backups: true,
                models,
            }),
        }
    });
    let state = DesiredState::new(
        StateVersion {
            row: 1.into(),
            number: 1,
        },
        Vec::new(),
        services.collect(),
        None,
        CallerLimits::default(),
    );
    let identified = state.models_identify_service(&ServiceName::from("writer"), &names(models));
    assert_eq!(identified, expected);
}
