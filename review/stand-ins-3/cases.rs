// The cases that a script plays.

/// A request as its requester saw it.
#[derive(Clone, Debug)]
struct Sent {
    attempt: String,
    at: Duration,
    status: Option<u16>,
    whole: bool,
    body: String,
}

/// Sends a request on a new connection, as a requester does, and records its answer.
fn ask(record: &Record, to: SocketAddr, attempt: &str, line: &str, headers: &str) -> Sent {
    let request = format!(
        "{line} HTTP/1.1\r\nhost: pule25.example\r\nauthorization: Bearer {KEY}\r\n\
         x-attempt-id: {attempt}\r\n{headers}content-length: 0\r\n\r\n"
    );
    let at = record.now();
    record.at(at, format!("{attempt} is sent to {to}"));
    let answer = send(to, &request, ms(7_000));
    let sent = Sent {
        attempt: attempt.to_owned(),
        at,
        status: answer.as_ref().map(Message::status),
        whole: answer.as_ref().is_some_and(|answer| answer.whole),
        body: answer.map_or_else(String::new, |answer| {
            String::from_utf8_lossy(&answer.body).into_owned()
        }),
    };
    record.add(format!("{attempt} is answered {:?} whole={}", sent.status, sent.whole));
    sent
}

/// Starts gateways and waits until they are ready. Returns whether all are.
fn start_all(gateways: &mut [Gateway]) -> bool {
    gateways.iter_mut().for_each(Gateway::start);
    gateways.iter().all(Gateway::wait_ready)
}

/// The store cuts off the watches that are waiting. Soon after, an engine leaves: its entry is
/// removed, and it serves for `drainMs` and a little longer.
fn late_removal(folder: &Path, command: &[String]) {
    const REMOVAL_AFTER: Duration = ms(1_300);
    const DRAIN: Duration = ms(2_000);
    const LONGER: Duration = ms(150);
    const STABILITY: Duration = ms(3_000);
    let scene = Scene::new(command);
    let record = scene.record.clone();
    let engines: Vec<Arc<Engine>> = (1..=3)
        .map(|number| Arc::new(scene.engine(&format!("i-desk-{number}"), "desk", number)))
        .collect();
    engines.iter().for_each(Engine::start);
    let first = scene.gateway(0, scene.store.address, None);
    let second = scene.gateway(1, scene.store.address, Some(&first));
    let mut gateways = vec![first, second];
    if !start_all(&mut gateways) {
        drop(gateways);
        scene.give_up(folder, "a gateway is not ready");
    }
    let fronts = [gateways[0].frontend, gateways[1].frontend];
    record.add("all gateways are ready");
    thread::sleep(ms(5_000));
    if scene.has_trouble {
        scene.store.cut_watches();
        record.add("the store cuts off the watches that are waiting");
    }
    let healed = record.now();
    let ended = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..9)
        .map(|client| {
            let (record, ended) = (record.clone(), Arc::clone(&ended));
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !ended.load(SeqCst) {
                    let to = fronts[client % 2];
                    let attempt = format!("a{client}-{}", sent.len());
                    let headers = "x-deadline-ms: 1000\r\n";
                    sent.push(ask(&record, to, &attempt, "POST /book/x", headers));
                    thread::sleep(ms(5));
                }
                sent
            })
        })
        .collect();
    thread::sleep(REMOVAL_AFTER);
    scene.store.remove("servers", "i-desk-1");
    let acknowledged = record.now();
    record.at(acknowledged, "i-desk-1 is leaving: the store has removed its entry");
    thread::sleep(DRAIN + LONGER);
    engines[0].end();
    record.add("i-desk-1 exits");
    thread::sleep(ms(600));
    ended.store(true, SeqCst);
    let sent: Vec<Sent> = clients.into_iter().flat_map(|one| one.join().unwrap()).collect();
    let still_run = gateways.iter_mut().all(|one| {
        let child = one.child.as_mut().unwrap();
        child.try_wait().is_ok_and(|status| status.is_none())
    });
    drop(gateways);
    if !still_run || sent.iter().filter(|one| one.status == Some(200)).count() < 50 {
        scene.give_up(folder, "a gateway ended, or too little was served");
    }
    let arrivals = scene.arrivals.lock().unwrap().clone();
    // Even if the end of these channels counts as a reset of the machines' channels, they are in
    // touch again `stabilityMs` later.
    let from = (acknowledged + DRAIN).max(healed + STABILITY);
    let late: Vec<&Sent> = sent
        .iter()
        .filter(|one| one.at > from)
        .filter(|one| {
            let mut at_first = arrivals.iter().filter(|one| one.engine == "i-desk-1");
            at_first.any(|arrival| arrival.attempt == one.attempt)
        })
        .collect();
    let lost = late.iter().filter(|one| one.status != Some(200) || !one.whole).count();
    let broken = late.last().map(|last| {
        format!(
            "DRAIN: {} requests reached an engine later than 2000 ms after the store had \
             acknowledged its leaving, the last {} ms after; {lost} of them were lost with it",
            late.len(),
            (last.at - acknowledged).as_millis(),
        )
    });
    scene.end(folder, broken);
}

/// One part of a prompt crashes engines. When that is known, all gateways are killed at once and
/// start again. Requests with the part then come as before.
fn forgotten_part(folder: &Path, command: &[String]) {
    const PART: &str = "dead0001";
    const STABILITY: Duration = ms(3_000);
    const INTERVAL: Duration = ms(500);
    let scene = Scene::new(command);
    let record = scene.record.clone();
    let engines: Vec<Arc<Engine>> = (1..=12)
        .map(|number| {
            let mut engine = scene.engine(&format!("i-llm-{number}"), "llm", number);
            engine.begins_after = ms(800);
            engine.deadly = Some(PART.to_owned());
            engine.streams = true;
            Arc::new(engine)
        })
        .collect();
    engines.iter().for_each(Engine::start);
    let first = scene.gateway(0, scene.store.address, None);
    let second = scene.gateway(1, scene.store.address, Some(&first));
    let mut gateways = vec![first, second];
    if !start_all(&mut gateways) {
        drop(gateways);
        scene.give_up(folder, "a gateway is not ready");
    }
    let fronts = [gateways[0].frontend, gateways[1].frontend];
    record.add("all gateways are ready");
    thread::sleep(ms(3_000));
    let ended = Arc::new(AtomicBool::new(false));
    let sound: Vec<_> = (0..8)
        .map(|client| {
            let (record, ended) = (record.clone(), Arc::clone(&ended));
            thread::spawn(move || {
                let mut sent = Vec::new();
                while !ended.load(SeqCst) {
                    let attempt = format!("s{client}-{}", sent.len());
                    let headers = format!(
                        "x-model: m\r\nx-token-usage: 2300,40\r\nx-deadline-ms: 6000\r\n\
                         x-prompt-prefix: aa01:300,bb0{client}:200,{client}c{:x}:1800\r\n",
                        sent.len()
                    );
                    let to = fronts[client % 2];
                    sent.push(ask(&record, to, &attempt, "POST /plan/x", &headers));
                    thread::sleep(ms(200));
                }
                sent
            })
        })
        .collect();
    let deadly = |number: usize| {
        let record = record.clone();
        thread::spawn(move || {
            let attempt = format!("d-{number}");
            let headers = format!(
                "x-model: m\r\nx-token-usage: 2300,40\r\nx-deadline-ms: 6000\r\n\
                 x-prompt-prefix: aa01:300,{PART}:200,d{number:x}:1800\r\n"
            );
            ask(&record, fronts[number % 2], &attempt, "POST /plan/x", &headers)
        })
    };
    let crashes = || {
        let all = engines.iter().flat_map(|one| one.crashes.lock().unwrap().clone());
        let mut all: Vec<Duration> = all.collect();
        all.sort();
        all
    };
    // Such requests come for 12 s, which is enough for five crashes.
    let mut number = 0;
    let spell = |number: &mut usize, count: usize| -> Vec<Sent> {
        let threads: Vec<_> = (0..count)
            .map(|_| {
                *number += 1;
                let sending = deadly(*number);
                thread::sleep(INTERVAL);
                sending
            })
            .collect();
        threads.into_iter().map(|one| one.join().unwrap()).collect()
    };
    spell(&mut number, 24);
    let Some(fifth) = crashes().get(4).copied() else {
        let count = crashes().len();
        ended.store(true, SeqCst);
        drop(gateways);
        scene.give_up(folder, &format!("only {count} engines crashed"));
    };
    record.add(format!("the fifth crash was at {:.3} s", fifth.as_secs_f64()));
    thread::sleep((fifth + STABILITY).saturating_sub(record.now()));
    if scene.has_trouble {
        gateways.iter_mut().for_each(Gateway::kill);
        record.add("all gateways are killed");
        thread::sleep(ms(1_000));
        gateways.iter_mut().for_each(Gateway::start);
        record.add("all gateways start again");
    }
    if !gateways.iter().all(Gateway::wait_ready) {
        ended.store(true, SeqCst);
        drop(gateways);
        scene.give_up(folder, "a gateway is not ready again");
    }
    // From here on the machines are in touch.
    thread::sleep(STABILITY + ms(200));
    let before = crashes().len();
    let cut_before: u64 = engines.iter().map(|one| one.cut_off.load(SeqCst)).sum();
    let from = record.now();
    record.at(from, "the machines are in touch, and requests with the part come again");
    let again = spell(&mut number, 16);
    thread::sleep(ms(1_500));
    ended.store(true, SeqCst);
    let sound: Vec<Sent> = sound.into_iter().flat_map(|one| one.join().unwrap()).collect();
    let still_run = gateways.iter_mut().all(|one| {
        let child = one.child.as_mut().unwrap();
        child.try_wait().is_ok_and(|status| status.is_none())
    });
    drop(gateways);
    let served = sound.iter().filter(|one| one.status == Some(200) && one.whole).count();
    if !still_run || served < 50 {
        scene.give_up(folder, "a gateway ended, or too little was served");
    }
    let arrivals = scene.arrivals.lock().unwrap().clone();
    let reached: Vec<&Arrival> = arrivals
        .iter()
        .filter(|one| one.is_deadly && one.at > from)
        .filter(|one| again.iter().any(|sent| sent.attempt == one.attempt))
        .collect();
    let cut_off: u64 = engines.iter().map(|one| one.cut_off.load(SeqCst)).sum();
    let text = format!(
        "{} of {} requests with a part under which five engines had crashed reached engines, sent \
         by machines in touch; {} more engines crashed, with {} sound requests at work",
        reached.len(),
        again.len(),
        crashes().len() - before,
        cut_off - cut_before,
    );
    record.add(text.clone());
    scene.end(folder, (reached.len() > 3).then(|| format!("BUDGET: {text}")));
}

/// A gateway freezes for two seconds. Meanwhile an engine of a plain service crashes between the
/// parts of answers that have no length, and starts again at its address and under its id.
fn frozen_end(folder: &Path, command: &[String]) {
    let scene = Scene::new(command);
    let record = scene.record.clone();
    let engines: Vec<Arc<Engine>> = (1..=2)
        .map(|number| {
            let mut engine = scene.engine(&format!("i-desk-{number}"), "desk", number);
            engine.part_after = Some(ms(300));
            engine.checks_in_after = ms(1_000);
            Arc::new(engine)
        })
        .collect();
    engines.iter().for_each(Engine::start);
    let first = scene.gateway(0, scene.store.address, None);
    let second = scene.gateway(1, scene.store.address, Some(&first));
    let mut gateways = vec![first, second];
    if !start_all(&mut gateways) {
        drop(gateways);
        scene.give_up(folder, "a gateway is not ready");
    }
    let front = gateways[0].frontend;
    record.add("all gateways are ready");
    thread::sleep(ms(3_000));
    let calm = ask(&record, front, "calm", "POST /group/x", "x-deadline-ms: 6000\r\n");
    if calm.status != Some(200) || calm.body != PARTS.concat() {
        drop(gateways);
        scene.give_up(folder, "the calm request was not served whole");
    }
    let requests: Vec<_> = (0..8)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let headers = "x-deadline-ms: 6000\r\n";
                ask(&record, front, &format!("b-{number}"), "POST /group/x", headers)
            })
        })
        .collect();
    thread::sleep(ms(500));
    if scene.has_trouble {
        gateways[0].signal("STOP");
        record.add("the first gateway freezes");
    }
    thread::sleep(ms(100));
    engines[0].end();
    record.add("i-desk-1 crashes");
    thread::sleep(ms(1_500));
    engines[0].start();
    record.add("i-desk-1 is back");
    thread::sleep(ms(400));
    if scene.has_trouble {
        gateways[0].signal("CONT");
        record.add("the first gateway wakes");
    }
    let sent: Vec<Sent> = requests.into_iter().map(|one| one.join().unwrap()).collect();
    drop(gateways);
    let whole = PARTS.concat();
    let cut: Vec<&Sent> = sent
        .iter()
        .filter(|one| one.status == Some(200) && one.whole && one.body != whole)
        .collect();
    let served = sent.iter().filter(|one| one.status == Some(200) && one.body == whole).count();
    record.add(format!("{served} of {} were served whole", sent.len()));
    let broken = cut.first().map(|one| {
        format!(
            "MIXED: {} of {} requesters got status 200 with a part of the engine's body as a whole \
             one: {:?} in place of {whole:?}",
            cut.len(),
            sent.len(),
            one.body,
        )
    });
    scene.end(folder, broken);
}

/// A requester that isn't under control sends many requests at once, each with many short headers
/// inside `maxHeaderBytes` and a body in chunks that stops short of its end for a moment. The
/// platform kills a process that exceeds its memory, and starts it again.
fn short_headers(folder: &Path, command: &[String]) {
    const MEMORY: u64 = 260 << 20;
    const HEAD: usize = 16_000;
    const REQUESTS: usize = 800;
    const ROUNDS: usize = 24;
    const ENDS: usize = 3;
    let scene = Scene::new(command);
    let record = scene.record.clone();
    let engine = Arc::new(scene.engine("i-desk-1", "desk", 1));
    engine.start();
    let first = scene.gateway(0, scene.store.address, None);
    let second = scene.gateway(1, scene.store.address, Some(&first));
    let mut gateways = vec![first, second];
    if !start_all(&mut gateways) {
        drop(gateways);
        scene.give_up(folder, "a gateway is not ready");
    }
    record.add("all gateways are ready");
    thread::sleep(ms(2_000));
    // The same bytes in one header in place of many are no trouble.
    let headers: usize = if scene.has_trouble { 1_537 } else { 20 };
    let mut head = format!(
        "POST /book/x HTTP/1.1\r\nhost: pule25.example\r\nauthorization: Bearer {KEY}\r\n\
         x-attempt-id: crowd\r\nx-deadline-ms: 1000\r\ntransfer-encoding: chunked\r\n"
    );
    for number in 0..headers {
        write!(head, "{}:\r\n", short_name(number)).unwrap();
    }
    let rest = HEAD.saturating_sub(head.len() + 12);
    write!(head, "x-pad: {}\r\n\r\n", "x".repeat(rest)).unwrap();
    record.add(format!("a head has {} bytes and {headers} short headers", head.len()));
    write!(head, "3e80\r\n{}\r\n", "x".repeat(16_000)).unwrap();
    let mut ends = [0; 2];
    let mut peak = 0;
    let (mut ordinary, mut served) = (0, 0);
    for round in 0..ROUNDS {
        for number in 0..2 {
            if ends[number] >= ENDS {
                continue;
            }
            let front = gateways[number].frontend;
            let mut open = Vec::new();
            for _ in 0..REQUESTS {
                if let Ok(stream) = TcpStream::connect_timeout(&front, ms(1_000)) {
                    let _ = stream.set_write_timeout(Some(ms(500)));
                    open.push(stream);
                }
            }
            let begun = Instant::now();
            let head = head.clone();
            let sending = thread::spawn(move || {
                for stream in &mut open {
                    let _ = stream.write_all(head.as_bytes());
                }
                thread::sleep(ms(300));
                drop(open);
            });
            let mut most = 0;
            let mut has_ended = false;
            while begun.elapsed() < ms(1_200) && !has_ended {
                let memory = gateways[number].memory().unwrap_or(0);
                most = most.max(memory);
                has_ended = memory > MEMORY;
                thread::sleep(ms(1));
            }
            if has_ended {
                gateways[number].kill();
                ends[number] += 1;
                record.add(format!("round {round}: gateway {number} is over its memory and ends"));
                thread::sleep(ms(300));
                gateways[number].start();
            }
            sending.join().unwrap();
            peak = peak.max(most);
            record.add(format!("round {round}: gateway {number} took {most} bytes"));
            if !gateways[number].wait_ready() {
                drop(gateways);
                scene.give_up(folder, "a gateway is not ready again");
            }
            let attempt = format!("o-{round}-{number}");
            let sent = ask(&record, front, &attempt, "POST /book/x", "x-deadline-ms: 1000\r\n");
            ordinary += 1;
            served += usize::from(sent.status == Some(200));
        }
        if ends.iter().all(|ends| *ends >= ENDS) || record.now() > ms(95_000) {
            break;
        }
    }
    drop(gateways);
    let text = format!(
        "the two gateways ended {ends:?} times over their memory, at most {peak} bytes of {MEMORY}; \
         {served} of {ordinary} ordinary requests between the crowds were served"
    );
    record.add(text.clone());
    println!("{text}");
    let is_broken = ends.iter().all(|ends| *ends >= ENDS);
    scene.end(folder, is_broken.then(|| format!("Fault: {text}")));
}

/// Returns the short name of a header.
fn short_name(mut number: usize) -> String {
    let mut name = String::from("z");
    while number > 0 {
        name.push(char::from(b'a' + (number % 26) as u8));
        number /= 26;
    }
    name.push('y');
    name
}
