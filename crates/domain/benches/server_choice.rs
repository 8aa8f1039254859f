//! Time of one server selection, and of one admission, at several pool sizes.

#![expect(missing_docs, reason = "the macros of the library define public items")]

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use domain::{
    FailureDomain, PoolName, ServerName,
    backend_server::{
        P2cSelector, SelectionQuery, ServerAddresses, ServerKind, ServerLoad, ServerSet, ServerSpec,
    },
    team_budget::ShareLimiter,
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

const SIZES: [usize; 3] = [4, 60, 1_400];
const TEAMS: usize = 13_000;

fn pool() -> PoolName {
    PoolName::from("writer-pool")
}

fn server_set(servers: usize, now: Instant) -> ServerSet {
    let address = "127.0.0.1:1".parse().expect("a constant address");
    let specs: Vec<ServerSpec> = (0..servers)
        .map(|number| ServerSpec {
            name: ServerName::from(format!("writer-{number}")),
            pool: pool(),
            domain: FailureDomain::from(format!("domain-{}", number % 5)),
            kind: ServerKind::Engine,
            addresses: ServerAddresses {
                stream: address,
                control: address,
            },
        })
        .collect();
    let set = ServerSet::new(&specs, &ServerSet::default(), now).with_subsets("entry-1");
    for node in set.nodes() {
        node.record_token_gap(Duration::from_millis(40), now);
        node.record_load(
            ServerLoad {
                in_flight: 3,
                slots: 8,
            },
            now,
        );
    }
    set
}

fn selections(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choice");
    for servers in SIZES {
        let set = server_set(servers, Instant::now());
        let pool = pool();
        let mut rng = SmallRng::seed_from_u64(1);
        for (name, prefix) in [("two draws", None), ("prefix", Some(42))] {
            group.bench_function(BenchmarkId::new(name, servers), |bencher| {
                bencher.iter(|| {
                    let query = SelectionQuery {
                        pool: &pool,
                        exclude: &[],
                        prefix,
                        is_move: false,
                        now: Instant::now(),
                    };
                    black_box(set.select(&P2cSelector, &query, &mut rng).is_some())
                });
            });
        }
    }
    group.finish();
}

fn admissions(criterion: &mut Criterion) {
    let limiter = ShareLimiter::new(Instant::now());
    let teams: Vec<String> = (0..TEAMS).map(|number| format!("team-{number}")).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut at = 0;
    criterion.bench_function("admission/13000 teams", |bencher| {
        bencher.iter(|| {
            at = (at + 1) % TEAMS;
            black_box(limiter.admit(&teams[at], 1, 16, Instant::now(), &mut rng))
        });
    });
}

criterion_group!(benches, selections, admissions);
criterion_main!(benches);
