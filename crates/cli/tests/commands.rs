//! The tool against small fake entries with fixed answers, driven by the cases under `testdata/cli`.

use std::{
    convert::Infallible,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::{io::AsyncWriteExt, net::TcpListener, process::Command};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Cases {
    case: Vec<Case>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    name: String,
    /// The failure that the case guards against.
    guards: String,
    args: Vec<String>,
    #[serde(default)]
    stdin: String,
    #[serde(default)]
    entry: Vec<Entry>,
    exit: i32,
    /// What the outputs must hold.
    #[serde(default)]
    stdout: Vec<String>,
    #[serde(default)]
    stderr: Vec<String>,
    /// The requests that all entries together get, in order.
    #[serde(default)]
    requests: Option<Vec<String>>,
    /// What headers and bodies of the requests must hold.
    #[serde(default)]
    sent: Vec<String>,
}

/// A fake entry; one without answers refuses connections.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    #[serde(default)]
    answer: Vec<Answer>,
}

/// The answers for one method and path are given in order; the last one stays.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Answer {
    on: String,
    #[serde(default = "ok")]
    status: u16,
    #[serde(default)]
    body: String,
    /// `close` drops the connection after the request came in, and `silent` never answers.
    #[serde(default)]
    fault: Option<String>,
}

fn ok() -> u16 {
    200
}

#[derive(Default)]
struct Seen {
    requests: Vec<String>,
    content: String,
}

struct Fake {
    answers: Mutex<Vec<Answer>>,
    seen: Arc<Mutex<Seen>>,
}

impl Fake {
    async fn answer(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, &'static str> {
        let target = request.uri().path_and_query().map(ToString::to_string).unwrap_or_default();
        let on = format!("{} {target}", request.method());
        let headers: Vec<_> = request.headers().iter().map(|(name, value)| format!("{name}: {value:?}")).collect();
        let body = request.into_body().collect().await.map_err(|_| "broken request")?.to_bytes();
        {
            let mut seen = self.seen.lock().expect("not poisoned");
            seen.requests.push(on.clone());
            seen.content += &format!("{}\n{}\n", headers.join("\n"), String::from_utf8_lossy(&body));
        }
        let answer = self.next(&on);
        match answer.as_ref().and_then(|answer| answer.fault.as_deref()) {
            Some("silent") => std::future::pending().await,
            Some(_) => Err("closed on purpose"),
            None => {
                let (status, body) = answer.map_or((404, String::new()), |a| (a.status, a.body));
                Response::builder().status(status).body(Full::new(body.into())).map_err(|_| "bad status")
            }
        }
    }

    fn next(&self, on: &str) -> Option<Answer> {
        let mut answers = self.answers.lock().expect("not poisoned");
        let matching: Vec<_> = answers.iter().enumerate().filter(|(_, a)| a.on == on).map(|(i, _)| i).collect();
        match matching.as_slice() {
            [] => None,
            [last] => Some(answers[*last].clone()),
            [first, ..] => Some(answers.remove(*first)),
        }
    }
}

async fn start(entry: &Entry, seen: &Arc<Mutex<Seen>>) -> SocketAddr {
    if entry.answer.is_empty() {
        // The port of an obsolete service, where nothing listens.
        return SocketAddr::from(([127, 0, 0, 1], 1));
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let fake = Arc::new(Fake { answers: Mutex::new(entry.answer.clone()), seen: seen.clone() });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let fake = fake.clone();
            let service = service_fn(move |request| {
                let fake = fake.clone();
                async move { fake.answer(request).await }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
        Ok::<(), Infallible>(())
    });
    address
}

impl Case {
    async fn run(&self, root: &Path) -> Result<(), String> {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let mut entries = Vec::new();
        for entry in &self.entry {
            entries.push(start(entry, &seen).await.to_string());
        }
        let mut command = Command::new(env!("CARGO_BIN_EXE_fescuelead"));
        command.env_clear().env("FESCUELEAD_TOKEN", "test-token").args(&self.args).current_dir(root);
        if !entries.is_empty() {
            command.env("FESCUELEAD_ENTRY", entries.join(","));
        }
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn().map_err(|e| e.to_string())?;
        if let Some(mut stdin) = child.stdin.take() {
            // A command that reads no input may have ended already.
            let _ = stdin.write_all(self.stdin.as_bytes()).await;
        }
        let output = child.wait_with_output().await.map_err(|e| e.to_string())?;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        let seen = seen.lock().expect("not poisoned");
        let shown = format!("{:?}\nstdout: {stdout}\nstderr: {stderr}\nrequests: {:?}", output.status, seen.requests);
        let holds = |text: &str, parts: &[String]| parts.iter().all(|part| text.contains(part));
        let right = output.status.code() == Some(self.exit)
            && holds(&stdout, &self.stdout)
            && holds(&stderr, &self.stderr)
            && holds(&seen.content, &self.sent)
            && self.requests.as_ref().is_none_or(|requests| *requests == seen.requests);
        if right { Ok(()) } else { Err(format!("{shown}\nsent: {}", seen.content)) }
    }
}

/// Guards against exit codes, messages and requests other than the cases say.
#[tokio::test]
async fn every_case_ends_as_it_says() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let folder = fs::read_dir(root.join("testdata/cli")).expect("the folder exists");
    let mut paths: Vec<_> = folder.map(|entry| entry.expect("readable").path()).collect();
    paths.sort();
    let mut wrong = Vec::new();
    for path in paths {
        let text = fs::read_to_string(&path).expect("readable");
        let cases: Cases = toml::from_str(&text).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
        for case in cases.case {
            if let Err(why) = case.run(&root).await {
                wrong.push(format!("{}: {} (guards against {}): {why}", path.display(), case.name, case.guards));
            }
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n\n"));
}
