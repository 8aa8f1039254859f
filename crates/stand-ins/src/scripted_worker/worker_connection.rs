//! Connections of a scripted worker, byte by byte.

use std::{io, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use super::{
    CRASH_DELAY, DRIBBLE_PAUSE, EVENT_PAUSE, OwnQuestion, ScriptedWorker, StreamEnd, WorkerAct,
    WorkerArrival, WorkerRequest, WorkerRun,
};
use crate::endless_bytes::{EndlessPace, EndlessPart, send_endless};

/// Pause between two attempts to listen on a port that is in use.
const BIND_PAUSE: Duration = Duration::from_millis(10);

impl ScriptedWorker {
    pub(super) async fn serve(self, mut listener: TcpListener) {
        let mut crashes = self.crashes.subscribe();
        loop {
            let stream = tokio::select! {
                Ok((stream, _)) = listener.accept() => stream,
                Ok(()) = crashes.changed() => {
                    listener = self.come_back(listener).await;
                    continue;
                }
                else => return,
            };
            let worker = self.clone();
            let mut closings = self.closings.subscribe();
            tokio::spawn(async move {
                // A connection that breaks is what many scripts are about.
                tokio::select! {
                    served = worker.serve_connection(stream) => served.ok(),
                    _ = closings.changed() => None,
                }
            });
        }
    }

    /// Close the listener, then all connections, for the time that a crash lasts. A process
    /// that ends closes them together; whoever loses a connection finds no listener.
    async fn come_back(&self, listener: TcpListener) -> TcpListener {
        drop(listener);
        self.closings.send_modify(|closings| *closings += 1);
        let down = {
            let mut state = self.state();
            let deadly = state.deadly_part.as_ref().map(|(_, down)| *down);
            state.crash_time.take().or(deadly)
        };
        sleep(down.unwrap_or_default()).await;
        // An outgoing connection may hold the port for some time.
        loop {
            match TcpListener::bind(self.address).await {
                Ok(listener) => return listener,
                Err(_) => sleep(BIND_PAUSE).await,
            }
        }
    }

    /// What never ends in the answer to a question.
    fn endless_answer(&self, question: OwnQuestion) -> Option<EndlessPart> {
        let mut state = self.state();
        match question {
            OwnQuestion::Health => state.endless_health,
            OwnQuestion::Report => None,
            OwnQuestion::Held => {
                let part = state.endless_listings?;
                state.listings += 1;
                Some(part)
            }
        }
    }

    /// Answer a question that is no request of a caller; none if it stays open.
    fn answer_question(&self, question: OwnQuestion) -> Option<String> {
        let lifetime = self.lifetime();
        let mut state = self.state();
        state.own_questions += 1;
        let body = match question {
            OwnQuestion::Health => String::new(),
            OwnQuestion::Report => {
                if state.mute_reports > 0 {
                    state.mute_reports -= 1;
                    return None;
                }
                let has_models = state
                    .identity
                    .as_ref()
                    .map_or(!state.is_other_service, |identity| identity.has_models);
                if !has_models {
                    r#"{"models":[]}"#.to_owned()
                } else {
                    r#"{"models":[{"name":"m","version":1}]}"#.to_owned()
                }
            }
            OwnQuestion::Held => {
                state.listings += 1;
                if state.mute {
                    return None;
                }
                state.list_held()
            }
        };
        Some(format!(
            "HTTP/1.1 200 OK\r\n{}x-bamboocross-instance: {}\r\ncontent-length: {}\r\n\r\n{body}",
            state.notice_lines(),
            lifetime,
            body.len()
        ))
    }

    async fn serve_connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut held = Vec::new();
        let early_reset = self.state().early_reset;
        if let Some((part, pause)) = early_reset {
            return self.reset_early(stream, part, pause).await;
        }
        while let Some(request) = read_request(&mut stream, &mut held).await? {
            if let Some(question) = OwnQuestion::of(&request) {
                if let Some(part) = self.endless_answer(question) {
                    let sent = send_endless(&mut stream, "", part, EndlessPace::Fast).await?;
                    self.state().endless_bytes += sent;
                    return Ok(());
                }
                let Some(answer) = self.answer_question(question) else {
                    self.wait_for_close(&mut stream).await?;
                    return Ok(());
                };
                stream.write_all(answer.as_bytes()).await?;
                continue;
            }
            let act = {
                let mut state = self.state();
                state.requests.push(request.clone());
                let arrival = WorkerArrival {
                    id: request
                        .header("x-bamboocross-request-id")
                        .unwrap_or_default()
                        .to_owned(),
                    lifetime: state.lifetimes,
                    at: Instant::now(),
                };
                state.arrivals.push(arrival);
                let act = state.next_act(&request);
                if !act.is_rejection() {
                    let id = request.header("x-bamboocross-request-id").unwrap_or("");
                    state.ran.push(id.to_owned());
                    let run = WorkerRun {
                        id: id.to_owned(),
                        path: request.path().to_owned(),
                        service: state.identity.as_ref().map(|identity| identity.service),
                        is_broken_off: act.breaks_off(),
                        at: Instant::now(),
                    };
                    state.runs.push(run);
                }
                act
            };
            if !self.play(&mut stream, &request, act).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    async fn reset_early(
        &self,
        mut stream: TcpStream,
        part: &str,
        pause: Duration,
    ) -> io::Result<()> {
        let head = read_head(&mut stream, &mut Vec::new()).await?;
        let request = WorkerRequest {
            head,
            body: Vec::new(),
        };
        if let Some(answer) = OwnQuestion::of(&request).and_then(|own| self.answer_question(own)) {
            return stream.write_all(answer.as_bytes()).await;
        }
        let id = request.header("x-bamboocross-request-id").unwrap_or("");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-bamboocross-request-id: {id}\r\n\
             x-bamboocross-server-seal: seal-{id}\r\ncontent-type: text/event-stream\r\n\r\n{part}"
        );
        stream.write_all(answer.as_bytes()).await?;
        self.state().uploads += 1;
        sleep(pause).await;
        reset(&stream).map(|_| ())
    }

    /// Play one act; tells whether the connection goes on.
    async fn play(
        &self,
        stream: &mut TcpStream,
        request: &WorkerRequest,
        act: WorkerAct,
    ) -> io::Result<bool> {
        let id = request.header("x-bamboocross-request-id").unwrap_or("");
        let (leaving, late) = {
            let mut state = self.state();
            (state.notice_lines(), std::mem::take(&mut state.late))
        };
        stream.write_all(late.as_bytes()).await?;
        let lifetime = format!("{}.{}", self.address, self.lifetime_number());
        let whole = |id: &str, status: u16, body: &str| {
            let length = body.len();
            format!(
                "HTTP/1.1 {status} X\r\n{leaving}x-bamboocross-request-id: {id}\r\n\
                 x-bamboocross-server-seal: seal-{id}\r\n\
                 x-stand-in-lifetime: {lifetime}\r\ncontent-length: {length}\r\n\r\n{body}"
            )
        };
        let text = match act {
            WorkerAct::Answer(status, body) => whole(id, status, body),
            WorkerAct::AnswerAfter(delay) => {
                sleep(delay).await;
                whole(id, 200, "ok")
            }
            WorkerAct::Rejected => format!(
                "HTTP/1.1 503 X\r\n{leaving}x-bamboocross-request-id: {id}\r\n\
                 x-bamboocross-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            ),
            WorkerAct::Pause(text) => format!(
                "HTTP/1.1 503 X\r\n{leaving}x-bamboocross-request-id: {id}\r\n\
                 x-bamboocross-not-run: 1\r\nretry-after: {text}\r\ncontent-length: 0\r\n\r\n"
            ),
            WorkerAct::AnswerWith(line) => {
                whole(id, 200, "ok").replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
            }
            WorkerAct::LateCopy => {
                let text = whole(id, 200, "ok");
                self.state().late = text.clone();
                text
            }
            WorkerAct::AnswerThenRefusal { has_id } => {
                let echo = if has_id {
                    "x-bamboocross-request-id: earlier\r\n"
                } else {
                    ""
                };
                self.state().late = format!(
                    "HTTP/1.1 503 X\r\n{echo}x-bamboocross-not-run: 1\r\ncontent-length: 0\r\n\r\n"
                );
                whole(id, 200, "ok")
            }
            WorkerAct::OddStatus(line) => whole(id, 200, "ok").replacen("HTTP/1.1 200 X", line, 1),
            WorkerAct::TornHead(head) => {
                stream.write_all(head.as_bytes()).await?;
                return Ok(false);
            }
            WorkerAct::Unframed(last, torn) => {
                let mut text = format!(
                    "HTTP/1.1 200 OK\r\nx-bamboocross-request-id: {id}\r\n\
                     x-bamboocross-server-seal: {}\r\ncontent-type: text/event-stream\r\n\r\n",
                    self.instance
                );
                for position in 1..=last {
                    text += &format!("id: {position}\ndata: e{position}\n\n");
                }
                text += torn;
                stream.write_all(text.as_bytes()).await?;
                return Ok(false);
            }
            WorkerAct::Endless(part, pace) => {
                let sent = send_endless(stream, id, part, pace).await?;
                self.state().endless_bytes += sent;
                return Ok(false);
            }
            WorkerAct::Misdirected(other) => misdirected(id, other),
            WorkerAct::MisdirectedTo(other) => misdirected(id, &other),
            WorkerAct::Extra => whole(id, 200, "ok") + &whole("other", 200, "of another"),
            WorkerAct::Foreign => whole("other", 200, "of another"),
            WorkerAct::NoSeal => format!(
                "HTTP/1.1 200 X\r\nx-bamboocross-request-id: {id}\r\ncontent-length: 2\r\n\r\nok"
            ),
            WorkerAct::Junk => "no answer at all\r\n\r\n".to_owned(),
            WorkerAct::Truncated => {
                let text = whole(id, 200, "cut short");
                stream.write_all(&text.as_bytes()[..text.len() - 4]).await?;
                return reset(stream);
            }
            WorkerAct::Reset => return reset(stream),
            WorkerAct::Silence => return self.wait_for_close(stream).await,
            WorkerAct::Events(last, end) => return self.stream(stream, request, last, end).await,
        };
        stream.write_all(text.as_bytes()).await?;
        Ok(true)
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        request: &WorkerRequest,
        last: u64,
        end: StreamEnd,
    ) -> io::Result<bool> {
        let id = request.header("x-bamboocross-request-id").unwrap_or("");
        let after = request.header("last-event-id");
        let first = after.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let first = first.saturating_add(1);
        let leaving = self.state().notice_lines();
        let head = format!(
            "HTTP/1.1 200 OK\r\n{leaving}x-bamboocross-request-id: {id}\r\n\
             x-bamboocross-server-seal: {}\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\r\n",
            self.instance
        );
        stream.write_all(head.as_bytes()).await?;
        if self.crashes_on(request) {
            sleep(CRASH_DELAY).await;
            SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
            self.crashes.send_modify(|crashes| *crashes += 1);
            // The connection ends with the others.
            return std::future::pending().await;
        }
        let pause = self.state().event_pause.unwrap_or(EVENT_PAUSE);
        for position in first..=last {
            write_chunk(stream, &format!("id: {position}\ndata: e{position}\n\n")).await?;
            sleep(pause).await;
        }
        match end {
            StreamEnd::Complete => {
                stream.write_all(b"0\r\n\r\n").await?;
                Ok(true)
            }
            StreamEnd::Cut => reset(stream),
            StreamEnd::Torn => {
                write_chunk(stream, &format!("id: {}\ndata: e", last + 1)).await?;
                sleep(EVENT_PAUSE).await;
                reset(stream)
            }
            StreamEnd::Hang => self.wait_for_close(stream).await,
            StreamEnd::Dribble(text) => {
                while write_chunk(stream, text).await.is_ok() {
                    sleep(DRIBBLE_PAUSE).await;
                }
                self.state().closed += 1;
                Ok(false)
            }
        }
    }

    async fn wait_for_close(&self, stream: &mut TcpStream) -> io::Result<bool> {
        let mut bytes = [0; 64];
        while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
        self.state().closed += 1;
        Ok(false)
    }
}

async fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    stream.write_all(chunk.as_bytes()).await
}

fn misdirected(id: &str, other: &str) -> String {
    format!(
        "HTTP/1.1 421 X\r\nx-bamboocross-request-id: {id}\r\n\
         x-bamboocross-instance: {other}\r\ncontent-length: 0\r\n\r\n"
    )
}

fn reset(stream: &TcpStream) -> io::Result<bool> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    Ok(false)
}

fn head_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(end + 4)
}

/// Reads until `held` begins with a whole head, which is returned; empty if the
/// connection ends before.
async fn read_head(stream: &mut TcpStream, held: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(length) = head_length(held) {
            return Ok(String::from_utf8_lossy(&held[..length]).into_owned());
        }
        if stream.read_buf(held).await? == 0 {
            return Ok(String::new());
        }
    }
}

async fn read_request(
    stream: &mut TcpStream,
    held: &mut Vec<u8>,
) -> io::Result<Option<WorkerRequest>> {
    let head = read_head(stream, held).await?;
    if head.is_empty() {
        return Ok(None);
    }
    let head_end = head_length(held).unwrap_or(held.len());
    let mut request = WorkerRequest {
        head,
        body: Vec::new(),
    };
    let length = request
        .header("content-length")
        .and_then(|text| text.parse().ok());
    let end = head_end + length.unwrap_or(0);
    while held.len() < end {
        if stream.read_buf(held).await? == 0 {
            return Ok(None);
        }
    }
    request.body = held[head_end..end].to_vec();
    held.drain(..end);
    Ok(Some(request))
}
