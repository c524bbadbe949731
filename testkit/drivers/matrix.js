// Runs each test cell with Node.js drivers through the node and directly against a fake database, and compares the
// outcomes. Started by run.sh, which installs the packages. The argument is the JSON line that
// `badgerpost-rehearse up postgres` prints.
const { Client, Pool, types } = require('pg');
const copyFrom = require('pg-copy-streams').from;
const copyTo = require('pg-copy-streams').to;
const postgres = require('postgres');
const { pipeline } = require('stream/promises');
const { Readable } = require('stream');

const stage = JSON.parse(process.argv[2]).postgres;

function place(direct) {
  const [host, port] = (direct ? stage.databases[0] : stage.listen).split(':');
  return {
    host, port: Number(port), database: stage.database,
    user: direct ? stage.databases_user : stage.user,
    password: direct ? stage.databases_password : stage.password,
  };
}

const pgCell = (work, more = {}) => async (direct) => {
  const client = new Client({ ...place(direct), ...more });
  await client.connect();
  try { return await work(client); } finally { await client.end(); }
};
const postgresCell = (work) => async (direct) => {
  const sql = postgres({ ...place(direct), max: 1, onnotice: () => {} });
  try { return await work(sql); } finally { await sql.end({ timeout: 1 }); }
};

const cells = {
  'pg simple': pgCell(async (c) => (await c.query('SELECT 1 AS a, \'x\' AS b, NULL AS c')).rows),
  'pg extended': pgCell(async (c) => (await c.query('SELECT $1::int4 AS a, $2::text AS b', [4, 'y'])).rows),
  'pg named': pgCell(async (c) => {
    let last;
    for (let n = 0; n < 100; n++) last = (await c.query({ name: 'add', text: 'SELECT $1::int4 + 1 AS a', values: [n] })).rows;
    return last;
  }),
  'pg transaction': pgCell(async (c) => {
    await c.query('BEGIN');
    await c.query('CREATE TEMP TABLE js (a int, b text)');
    await c.query('INSERT INTO js VALUES ($1, $2), (2, \'b\')', [1, 'a']);
    const rows = (await c.query('SELECT * FROM js ORDER BY a')).rows;
    await c.query('ROLLBACK');
    return rows;
  }),
  'pg failed transaction': pgCell(async (c) => {
    const codes = [];
    await c.query('BEGIN');
    for (const sql of ['SELECT nothing', 'SELECT 1', 'COMMIT', 'SELECT 2 AS a']) {
      try { codes.push((await c.query(sql)).command); } catch (e) { codes.push(e.code); }
    }
    return codes;
  }),
  'pg savepoint': pgCell(async (c) => {
    for (const sql of ['BEGIN', 'CREATE TEMP TABLE s (a int)', 'INSERT INTO s VALUES (1)', 'SAVEPOINT one',
      'INSERT INTO s VALUES (2)', 'ROLLBACK TO SAVEPOINT one', 'RELEASE SAVEPOINT one']) await c.query(sql);
    const rows = (await c.query('SELECT a FROM s')).rows;
    await c.query('ROLLBACK');
    return rows;
  }),
  'pg copy both ways': pgCell(async (c) => {
    await c.query('BEGIN');
    await c.query('CREATE TEMP TABLE cp (a int, b text)');
    await pipeline(Readable.from(['1\tone\n', '2\ttwo\n']), c.query(copyFrom('COPY cp FROM STDIN')));
    const out = [];
    for await (const chunk of c.query(copyTo('COPY cp TO STDOUT'))) out.push(chunk.toString());
    await c.query('ROLLBACK');
    return out.join('');
  }),
  'pg settings at start-up': pgCell(async (c) => [
    (await c.query('SHOW search_path')).rows, (await c.query('SHOW statement_timeout')).rows,
    (await c.query('SHOW application_name')).rows,
  ], { options: '-c search_path=tenant8', statement_timeout: 1234, application_name: 'js' }),
  'pg large result': pgCell(async (c) => {
    const rows = (await c.query('SELECT repeat(\'y\', 500) AS a FROM generate_series(1, 20000)')).rows;
    return [rows.length, rows[19999].a.length];
  }),
  'pg error then more': pgCell(async (c) => {
    const out = [];
    for (const sql of ['SELECT * FROM nowhere', 'SELECT 3 AS a']) {
      try { out.push((await c.query(sql, [])).rows); } catch (e) { out.push(e.code); }
    }
    return out;
  }),
  'pg pool': async (direct) => {
    const pool = new Pool({ ...place(direct), max: 5 });
    const rows = await Promise.all([...Array(50).keys()].map((n) => pool.query('SELECT $1::int4 AS n', [n])));
    await pool.end();
    return rows.map((r) => r.rows[0].n).join();
  },
  'postgres.js prepared': postgresCell(async (sql) => [...await sql`SELECT ${5}::int4 AS a, ${'z'}::text AS b`]),
  'postgres.js pipelined': postgresCell(async (sql) =>
    (await Promise.all([...Array(30).keys()].map((n) => sql`SELECT ${n}::int4 AS n`))).map((r) => r[0].n).join()),
  'postgres.js transaction': postgresCell((sql) => sql.begin(async (sql) => {
    await sql`CREATE TEMP TABLE pj (a int4, b text)`;
    await sql`INSERT INTO pj ${sql([{ a: 1, b: 'x' }, { a: 2, b: 'y' }])}`;
    await sql.savepoint(async (sql) => { await sql`INSERT INTO pj VALUES (3, 'z')`; throw new Error('back'); }).catch(() => {});
    return [...await sql`SELECT * FROM pj ORDER BY a`];
  })),
  'postgres.js cursor': postgresCell(async (sql) => {
    let count = 0;
    await sql`SELECT n FROM generate_series(1, 250) n`.cursor(100, (rows) => { count += rows.length; });
    return count;
  }),
  'postgres.js cancel': postgresCell(async (sql) => {
    const slow = sql`SELECT pg_sleep(20)`.execute();
    setTimeout(() => slow.cancel(), 200);
    try { await slow; } catch (e) { return [e.code, (await sql`SELECT 1 AS a`)[0].a]; }
  }),
};

(async () => {
  let wrong = 0;
  const outcome = async (cell, direct) => {
    try { return JSON.stringify(await cell(direct)); } catch (e) { return `Error ${e.code} ${e.message}`; }
  };
  for (const [name, cell] of Object.entries(cells)) {
    const direct = await outcome(cell, true);
    const through = await outcome(cell, false);
    const same = direct === through && !direct.startsWith('Error');
    if (!same) wrong++;
    console.log(`${(same ? 'same' : 'DIFFERENT').padEnd(9)} ${name.padEnd(24)} ${direct.slice(0, 70)}`);
    if (!same) console.log(`   directly: ${direct.slice(0, 400)}\n   through:  ${through.slice(0, 400)}`);
  }
  console.log(`node.js: ${Object.keys(cells).length} cells, ${wrong} different`);
  process.exit(wrong ? 1 : 0);
})();
