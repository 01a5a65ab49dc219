//! Session tokens as callers keep them.

use load::bed::Bed;
use load::client::{Client, Login};

// A session writes on one proxy, then presents its token on a second one, which
// had reported an older token to it before. The caller keeps the token that was
// reported last, moves on, and misses its own write: the second proxy had taken
// the newer token over without reporting it.
#[test]
fn a_presented_token_is_reported_back() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let spec = standin::Spec::small();
        let database = spec.groups[0].to_string();
        let bed = Bed::start(spec, 2).await.unwrap();
        let login = |at: usize| Login {
            address: bed.entries()[at].0,
            source: None,
            user: "app".to_owned(),
            database: database.clone(),
            session: None,
        };
        let mut first = Client::connect(&login(0)).await.unwrap();
        let mut second = Client::connect(&login(1)).await.unwrap();
        first.query("CREATE TABLE note (n INTEGER)").await.unwrap();
        let token = first.session().unwrap().to_owned();
        assert_ne!(second.session(), Some(token.as_str()));
        let sql = format!("SET pomelo.session = '{token}'");
        second.query(&sql).await.unwrap();
        assert_eq!(second.session(), Some(token.as_str()));
    });
}
