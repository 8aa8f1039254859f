// The orders of events of the scripts. Included by drill.rs.

fn run_case(case: &str, trouble: bool) -> Result<Vec<String>, String> {
    match case {
        "refused" => refused(trouble),
        "denied" => denied(trouble),
        "route" => route(trouble),
        "odd" => odd(trouble),
        "forgotten" => forgotten(trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// Ends the entries, whoever else still refers to them.
fn end(entries: &[Arc<Entry>]) {
    for entry in entries {
        let mut process = entry.process.lock().unwrap();
        let _ = process.kill();
        let _ = process.wait();
    }
}

/// Answers that promise that the request has not run and never will, although a worker
/// has run it.
fn broken_promises() -> Vec<String> {
    let runs = RUNS.lock().unwrap().clone();
    let answers = ANSWERS.lock().unwrap().clone();
    let promised = answers.iter().filter(|answer| matches!(answer.status, Some(429 | 503 | 408 | 421)));
    promised
        .filter_map(|answer| {
            let run = runs.iter().find(|run| run.id == answer.id)?;
            Some(format!(
                "REFUSED: {} sent to {} at {:.3} s is answered {}, but worker {} ran it at {:.3} s",
                answer.id,
                answer.entry,
                answer.sent_s,
                answer.status.unwrap_or(0),
                run.worker,
                run.at_s
            ))
        })
        .collect()
}

/// Streams that may not be resumed, some answers of which are lost, while the entries
/// are stopped and started in turn.
fn refused(trouble: bool) -> Result<Vec<String>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let site = Site::start().map_err(failed)?;
    let stream = Work::Stream(1_000, 30, 100);
    let mut workers = Vec::new();
    for (place, zone) in ["goma", "bukavu", "goma", "bukavu"].iter().enumerate() {
        let id = format!("i-writer-{}", place + 1);
        workers.push(site.worker(&id, "writer", zone, 11 + place as u8, stream).map_err(failed)?);
    }
    site.configure(
        1,
        &[("note", "stream", "writer", ",\"timeout-ms\":25000,\"target-latency-ms\":4500,\"gap-aim-ms\":700,\"attempts\":5,\"can-resume\":false")],
        &["writer"],
    );
    let entries = vec![
        Arc::new(Entry::start(&site, "front-goma-1", "goma", &site.ip(1)).map_err(failed)?),
        Arc::new(Entry::start(&site, "front-bukavu-1", "bukavu", &site.ip(2)).map_err(failed)?),
    ];
    if let Err(error) = wait_ready(&entries) {
        end(&entries);
        return Err(error);
    }
    let running = Arc::new(AtomicBool::new(true));
    let balancer = Balancer::start(&entries, &running);
    note("traffic starts");
    let mut consumers = Vec::new();
    let mut next = 0;
    let mut send_for = |seconds: f64| {
        let end = now_s() + seconds;
        while now_s() < end {
            let (balancer, consumer) = (Arc::clone(&balancer), next);
            next += 1;
            consumers.push(thread::spawn(move || {
                // A consumer gives a stream up after a gap of four times its objective.
                let limit = Duration::from_millis(18_000);
                let Some(first) = send_alone(&balancer, consumer, "POST", "/note/1", "", limit) else { return };
                if first.status == Some(503) {
                    // A promise: the request has not run and never will. It is sent again.
                    pause(500);
                    note(&format!("consumer sends {} again, as it was promised not to have run", first.id));
                    send_alone(&balancer, consumer + 1, "POST", "/note/1", "", limit);
                }
            }));
            pause(100);
        }
    };
    send_for(2.0);
    if trouble {
        note("workers 1 and 3 lose the answers of some requests that they run, for 6 s");
        for place in [0, 2] {
            workers[place].0.lose_percent.store(30, SeqCst);
        }
    }
    send_for(4.0);
    let stopped = Arc::clone(&entries[0]);
    let stopping = thread::spawn(move || {
        if trouble {
            stopped.stop_and_start();
        }
    });
    send_for(2.0);
    for worker in &workers {
        worker.0.lose_percent.store(0, SeqCst);
    }
    send_for(10.0);
    let _ = stopping.join();
    for consumer in consumers {
        let _ = consumer.join();
    }
    running.store(false, SeqCst);
    end(&entries);
    let answers = ANSWERS.lock().unwrap().len();
    note(&format!("{answers} answers, {} runs", RUNS.lock().unwrap().len()));
    if answers < 20 {
        return Err("too few answers".to_owned());
    }
    Ok(broken_promises())
}

/// A prompt part that all requests of a kind share, while all workers crash several
/// times in a row. The workers are sound afterwards.
fn denied(trouble: bool) -> Result<Vec<String>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let site = Site::start().map_err(failed)?;
    let stream = Work::Stream(1_000, 30, 100);
    let zones = ["goma", "bukavu", "goma", "bukavu"];
    let start = |lifetime: usize| -> Result<Vec<Worker>, String> {
        let mut workers = Vec::new();
        for (place, zone) in zones.iter().enumerate() {
            let id = format!("i-writer-{}-{lifetime}", place + 1);
            workers.push(site.worker(&id, "writer", zone, 11 + place as u8, stream).map_err(failed)?);
        }
        Ok(workers)
    };
    let mut workers = start(0)?;
    site.configure(
        1,
        &[("note", "stream", "writer", ",\"timeout-ms\":25000,\"target-latency-ms\":4500,\"gap-aim-ms\":700,\"attempts\":5,\"can-resume\":true")],
        &["writer"],
    );
    let entries = vec![
        Arc::new(Entry::start(&site, "front-bukavu-1", "bukavu", &site.ip(1)).map_err(failed)?),
        Arc::new(Entry::start(&site, "front-goma-1", "goma", &site.ip(2)).map_err(failed)?),
    ];
    if let Err(error) = wait_ready(&entries) {
        end(&entries);
        return Err(error);
    }
    let running = Arc::new(AtomicBool::new(true));
    let balancer = Balancer::start(&entries, &running);
    note("traffic starts");
    let sending = {
        let (balancer, running) = (Arc::clone(&balancer), Arc::clone(&running));
        thread::spawn(move || {
            let mut next = 0;
            while running.load(SeqCst) {
                let (balancer, consumer) = (Arc::clone(&balancer), next);
                next += 1;
                thread::spawn(move || {
                    // 200 tokens that the kind of request has in common, then the request's own.
                    let own = format!("X-Bamboocross-Model: m\r\nX-Bamboocross-Token-Counts: 8200,600\r\nX-Bamboocross-Prompt-Prefix: 5c1e07a2:200,{:08x}:8000\r\n", draw(1 << 32));
                    send_alone(&balancer, consumer, "POST", "/note/1", &own, Duration::from_millis(18_000));
                });
                pause(100);
            }
        })
    };
    // The kind of request is new: no answer with its part has gone on for a second yet.
    pause(1_600);
    let is_denied = || ANSWERS.lock().unwrap().iter().any(|answer| answer.status == Some(422));
    for lifetime in 1..=5 {
        if trouble && !is_denied() {
            for worker in &workers {
                worker.crash();
            }
            pause(1_200);
            workers = start(lifetime)?;
        } else {
            pause(1_200);
        }
        pause(1_700);
    }
    note("the workers are sound from now on");
    let sound_s = now_s();
    pause(78_000);
    running.store(false, SeqCst);
    let _ = sending.join();
    pause(1_000);
    end(&entries);
    let answers = ANSWERS.lock().unwrap().clone();
    let own = |answer: &&Answer| answer.seal.is_empty() && answer.status.is_some_and(|status| (300..500).contains(&status) && ![408, 421, 429].contains(&status));
    // A machine is in touch all the while; the bound is 5 and one in 500 of all requests.
    let denied: Vec<&Answer> = answers.iter().filter(own).collect();
    let allowed = 5 + answers.len() / 500;
    let late = denied.iter().filter(|answer| answer.sent_s > sound_s + 62.0).count();
    note(&format!("{} answers, {} of them 4xx of the entries; {late} of these over a minute after the last crash", answers.len(), denied.len()));
    if answers.len() < 100 {
        return Err("too few answers".to_owned());
    }
    let mut breaks = Vec::new();
    if let (true, Some(first), Some(last)) = (denied.len() > allowed, denied.first(), denied.last()) {
        breaks.push(format!(
            "DENIED: {} of {} proper requests are ended with {} by the entries (bound {allowed}), sent at {:.3} to {:.3} s; the workers are sound from {sound_s:.3} s",
            denied.len(),
            answers.len(),
            first.status.unwrap_or(0),
            first.sent_s,
            last.sent_s
        ));
    }
    Ok(breaks)
}

/// An entry stands still while a worker crashes, whose address goes to a worker of
/// another service.
fn route(trouble: bool) -> Result<Vec<String>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let site = Site::start().map_err(failed)?;
    let stream = Work::Stream(1_000, 30, 100);
    let mut workers = Vec::new();
    for place in 0..4_u8 {
        let id = format!("i-writer-{}", place + 1);
        workers.push(site.worker(&id, "writer", "goma", 11 + place, stream).map_err(failed)?);
    }
    for place in 0..2_u8 {
        site.worker(&format!("i-ledger-{}", place + 1), "ledger", "goma", 31 + place, Work::Plain(15)).map_err(failed)?;
    }
    site.configure(
        1,
        &[
            ("note", "stream", "writer", ",\"timeout-ms\":25000,\"target-latency-ms\":4500,\"gap-aim-ms\":700,\"attempts\":5,\"can-resume\":true"),
            ("order", "unsafe", "ledger", ",\"timeout-ms\":1000,\"target-latency-ms\":100,\"attempts\":1,\"can-resume\":false"),
        ],
        &["writer", "ledger"],
    );
    let entries = vec![
        Arc::new(Entry::start(&site, "front-goma-1", "goma", &site.ip(1)).map_err(failed)?),
        Arc::new(Entry::start(&site, "front-bukavu-1", "bukavu", &site.ip(2)).map_err(failed)?),
    ];
    if let Err(error) = wait_ready(&entries) {
        end(&entries);
        return Err(error);
    }
    let running = Arc::new(AtomicBool::new(true));
    let balancer = Balancer::start(&entries, &running);
    note("traffic starts");
    let sending = {
        let (balancer, running) = (Arc::clone(&balancer), Arc::clone(&running));
        thread::spawn(move || {
            let mut next = 0;
            while running.load(SeqCst) {
                for (path, limit) in [("/note/1", 18_000), ("/order/1", 1_000)] {
                    let (balancer, consumer) = (Arc::clone(&balancer), next);
                    next += 1;
                    thread::spawn(move || send_alone(&balancer, consumer, "POST", path, "", Duration::from_millis(limit)));
                }
                next += 1;
                pause(80);
            }
        })
    };
    pause(4_000);
    for round in 0..6_usize {
        if !trouble {
            pause(9_000);
            continue;
        }
        entries[0].signal(SIGSTOP, "freeze (SIGSTOP)");
        pause(300);
        let lost = workers.remove(0);
        let address = lost.0.address.to_string();
        lost.crash();
        // Another service may get the address once addr-reuse-s (2 s) has passed.
        pause(2_100);
        let id = format!("i-ledger-{}", 10 + round);
        let other = Worker::start(&site.store, &id, "ledger", "goma", &address, Work::Plain(15)).map_err(failed)?;
        let frozen_ms = 300 + draw(400);
        pause(frozen_ms);
        entries[0].signal(SIGCONT, "wake (SIGCONT)");
        // Its first check-in is seen 0.8 s after its start (`lag_ms` of the site files);
        // check-ins are `heartbeat-ms` (1.2 s) apart.
        pause(800 - frozen_ms);
        other.register();
        // The crashed worker's service gets a new worker at a new address.
        let id = format!("i-writer-{}", 20 + round);
        workers.push(site.worker(&id, "writer", "goma", 51 + round as u8, stream).map_err(failed)?);
        pause(6_000);
    }
    running.store(false, SeqCst);
    let _ = sending.join();
    pause(1_500);
    end(&entries);
    let runs = RUNS.lock().unwrap().clone();
    let answers = ANSWERS.lock().unwrap().clone();
    note(&format!("{} answers, {} runs", answers.len(), runs.len()));
    if answers.len() < 100 {
        return Err("too few answers".to_owned());
    }
    let wrong = |run: &&Run| (run.path.starts_with("/note/") && run.service != "writer") || (run.path.starts_with("/order/") && run.service != "ledger");
    Ok(runs
        .iter()
        .filter(wrong)
        .map(|run| {
            let answer = answers.iter().find(|answer| answer.id == run.id);
            let got = answer.map_or("no answer".to_owned(), |answer| format!("{:?} with seal {}", answer.status, answer.seal));
            format!("ROUTE: {} {} runs at worker {} of service {} at {:.3} s; the consumer gets {got}", run.id, run.path, run.worker, run.service, run.at_s)
        })
        .collect())
}

/// A worker leaves, and another writer puts an entry in its place that lacks fields.
fn odd(trouble: bool) -> Result<Vec<String>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let site = Site::start().map_err(failed)?;
    let mut workers = Vec::new();
    for (place, zone) in ["goma", "bukavu", "goma", "bukavu"].iter().enumerate() {
        let id = format!("i-ledger-{}", place + 1);
        workers.push(site.worker(&id, "ledger", zone, 31 + place as u8, Work::Plain(15)).map_err(failed)?);
    }
    site.configure(
        1,
        &[("order", "unsafe", "ledger", ",\"timeout-ms\":1000,\"target-latency-ms\":100,\"attempts\":1,\"can-resume\":false")],
        &["ledger"],
    );
    let entries = vec![
        Arc::new(Entry::start(&site, "front-goma-1", "goma", &site.ip(1)).map_err(failed)?),
        Arc::new(Entry::start(&site, "front-bukavu-1", "bukavu", &site.ip(2)).map_err(failed)?),
    ];
    if let Err(error) = wait_ready(&entries) {
        end(&entries);
        return Err(error);
    }
    let running = Arc::new(AtomicBool::new(true));
    let balancer = Balancer::start(&entries, &running);
    note("traffic starts");
    let sending = {
        let (balancer, running) = (Arc::clone(&balancer), Arc::clone(&running));
        thread::spawn(move || {
            let mut next = 0;
            while running.load(SeqCst) {
                let (balancer, consumer) = (Arc::clone(&balancer), next);
                next += 1;
                thread::spawn(move || send_alone(&balancer, consumer, "POST", "/order/1", "", Duration::from_millis(1_000)));
                pause(50);
            }
        })
    };
    pause(4_000);
    let leaving = workers.remove(0);
    let id = leaving.0.id.clone();
    // It never reports `draining`: its entry is removed, and it serves for `drain-ms` and
    // some seconds more.
    leaving.leave();
    let left_s = now_s();
    note(&format!("the store has confirmed that the entry of {id} is removed"));
    pause(3_500);
    if trouble {
        let row = format!("{{\"service\":\"ledger\",\"addr\":\"{}\",\"zone\":\"goma\",\"slots\":6,\"state\":\"ready\"}}", leaving.0.address);
        note(&format!("another writer puts servers/{id} without version, cold-left-ms and seq: {row}"));
        site.store.put("servers", &id, &row);
    }
    pause(5_000);
    note(&format!("worker {id} exits"));
    leaving.0.is_registered.store(false, SeqCst);
    leaving.exit();
    pause(3_000);
    running.store(false, SeqCst);
    let _ = sending.join();
    pause(1_500);
    end(&entries);
    let runs = RUNS.lock().unwrap().clone();
    let answers = ANSWERS.lock().unwrap().clone();
    note(&format!("{} answers, {} runs", answers.len(), runs.len()));
    if answers.len() < 100 {
        return Err("too few answers".to_owned());
    }
    Ok(runs
        .iter()
        .filter(|run| run.worker == id && run.at_s > left_s + 2.0)
        .map(|run| {
            let status = answers.iter().find(|answer| answer.id == run.id).and_then(|answer| answer.status);
            format!("DRAIN: {} reaches worker {id} at {:.3} s, {:.3} s after the removal of its entry was confirmed (drain-ms 2,000); answered {status:?}", run.id, run.at_s, run.at_s - left_s)
        })
        .collect())
}

/// Workers crash and start again under their ids at other addresses; their old addresses go
/// to workers of another service.
fn forgotten(trouble: bool) -> Result<Vec<String>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let site = Site::start().map_err(failed)?;
    let work = Work::Plain(15);
    for place in 0..3_u8 {
        site.worker(&format!("i-desk-{}", place + 1), "desk", "enugu", 11 + place, work).map_err(failed)?;
    }
    let mut stock = Vec::new();
    for place in 0..2_u8 {
        stock.push(site.worker(&format!("i-stock-{}", place + 1), "stock", "enugu", 31 + place, work).map_err(failed)?);
    }
    let more = ",\"timeout-ms\":1000,\"target-latency-ms\":100,\"attempts\":2,\"can-resume\":false";
    let first = ("order", "unsafe", "desk", more);
    site.configure(1, &[first], &["desk", "stock"]);
    let mut entries = Vec::new();
    for place in 1..=5_u8 {
        entries.push(Arc::new(Entry::start(&site, &format!("front-enugu-{place}"), "enugu", &site.ip(place)).map_err(failed)?));
    }
    if let Err(error) = wait_ready(&entries) {
        end(&entries);
        return Err(error);
    }
    note("desired state 2 adds the route of the stock checks");
    site.configure(2, &[first, ("stock", "safe", "stock", more)], &["desk", "stock"]);
    pause(4_000);
    let running = Arc::new(AtomicBool::new(true));
    let balancer = Balancer::start(&entries, &running);
    note("traffic starts");
    let sending = {
        let (balancer, running) = (Arc::clone(&balancer), Arc::clone(&running));
        thread::spawn(move || {
            let mut next = 0;
            while running.load(SeqCst) {
                for (method, path) in [("POST", "/order/1"), ("GET", "/stock/1")] {
                    let (balancer, consumer) = (Arc::clone(&balancer), next);
                    thread::spawn(move || send_alone(&balancer, consumer, method, path, "", Duration::from_millis(1_000)));
                }
                next += 1;
                pause(60);
            }
        })
    };
    pause(5_000);
    for (place, worker) in stock.into_iter().enumerate() {
        if !trouble {
            pause(10_000);
            continue;
        }
        note(&format!("worker {} crashes", worker.0.id));
        worker.0.is_registered.store(false, SeqCst);
        worker.exit();
        pause(1_200);
        // The same id, another address; nothing is left of before.
        site.worker(&worker.0.id, "stock", "enugu", 41 + place as u8, work).map_err(failed)?;
        // The old address may be given away once addr-reuse-s (2 s) has passed.
        pause(1_800);
        let host = 31 + place as u8;
        site.worker(&format!("i-desk-{}", 10 + place), "desk", "enugu", host, work).map_err(failed)?;
        pause(7_000);
    }
    // Workers alone were disturbed. The state is steady again.
    pause(5_000);
    let steady_s = now_s();
    note("steady state from now on");
    pause(25_000);
    running.store(false, SeqCst);
    let _ = sending.join();
    pause(1_500);
    end(&entries);
    let answers = ANSWERS.lock().unwrap().clone();
    let runs = RUNS.lock().unwrap().clone();
    // A request is told from another by the worker that runs it, or else by its path in the record.
    let paths = PATHS.lock().unwrap().clone();
    let share = |path: &str, entry: Option<&str>| {
        let sent: Vec<&Answer> = answers
            .iter()
            .filter(|answer| answer.sent_s > steady_s && paths.get(&answer.id).is_some_and(|sent| sent == path))
            .filter(|answer| entry.is_none_or(|entry| answer.entry == entry))
            .collect();
        let served = sent.iter().filter(|answer| answer.status == Some(200) && answer.complete).count();
        (served, sent.len())
    };
    let rate = |(served, sent): (usize, usize)| served as f64 / sent.max(1) as f64;
    for entry in &entries {
        let (first, later) = (share("/order/1", Some(&entry.name)), share("/stock/1", Some(&entry.name)));
        note(&format!("{}: first route {} of {} served, later route {} of {}", entry.name, first.0, first.1, later.0, later.1));
    }
    let (first, later) = (share("/order/1", None), share("/stock/1", None));
    note(&format!("all: first route {} of {}, later route {} of {}; {} runs", first.0, first.1, later.0, later.1, runs.len()));
    if first.1 < 100 || later.1 < 20 {
        return Err("too few requests".to_owned());
    }
    let mut breaks = Vec::new();
    if rate(later) < rate(first) / 4.0 {
        breaks.push(format!(
            "CONFIG: in steady state the machines in touch serve {} of {} requests on the route that was added later, and {} of {} on the first one",
            later.0, later.1, first.0, first.1
        ));
    }
    Ok(breaks)
}
