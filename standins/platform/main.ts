import * as http from 'node:http';
import * as h3 from 'h3';
import * as zod from 'zod';
import * as codecs from '../../src/codecs/index.js';
import * as services from '../../src/services/platform/index.js';
import * as processes from '../processes/announce.js';

const HTTP_UNAVAILABLE = 503;

/** How the stand-in misbehaves. */
const faultsSchema = zod.strictObject({
  /** Time in milliseconds that each answer takes. */
  delayMs: zod.number().min(0).default(0),
  /** Whether calls are refused, hang, or take effect and hang. */
  outage: zod.enum(['none', 'refuse', 'hang', 'holdAnswers']).default('none'),
  /** How many transactions take effect and lose their answer. */
  lostAnswerCount: zod.int().min(0).default(0),
  /** Transactions whose writes touch a row with this prefix lose their answer; empty for any. */
  lostAnswerPrefix: zod.string().default(''),
});

const store = new services.EmbeddedPlatform();
let faults = faultsSchema.parse({});
let heldCount = 0;

/** Blocks a call while an outage lasts. */
async function passFaults(): Promise<Response | undefined> {
  if (faults.delayMs > 0)
    await new Promise(resolve => setTimeout(resolve, faults.delayMs));
  if (faults.outage === 'hang') await hold();
  if (faults.outage === 'refuse')
    return new Response('outage', {status: HTTP_UNAVAILABLE});
  return undefined;
}

/** Never returns. */
async function hold(): Promise<never> {
  heldCount += 1;
  return await new Promise(() => {});
}

function isAnswerLost(transaction: zod.infer<typeof codecs.transactionSchema>) {
  if (faults.lostAnswerCount === 0) return false;
  const {lostAnswerPrefix} = faults;
  const isHit = transaction.writes.some(write =>
    write.key.startsWith(lostAnswerPrefix),
  );
  if (!isHit) return false;
  faults = {...faults, lostAnswerCount: faults.lostAnswerCount - 1};
  return true;
}

const app = new h3.H3();

app.post('/control', async event => {
  faults = faultsSchema.parse(await event.req.json());
  heldCount = 0;
  return {};
});

app.get('/control', () => ({heldCount}));

app.get('/control/rows', async event => {
  const {prefix} = zod.object({prefix: zod.string()}).parse(h3.getQuery(event));
  const result = await store.read({
    kind: 'prefix',
    prefix,
    afterKey: '',
    limit: 1_000_000,
  });
  return result.kind === 'rows' ? result.rows : [];
});

app.post('/control/vms', async event => {
  store.setVms(codecs.listedVmsSchema.parse(await event.req.json()) as never);
  return {};
});

app.post('/table/read', async event => {
  const blocked = await passFaults();
  if (blocked) return blocked;
  const request = codecs.readRequestSchema.parse(await event.req.json());
  const result = await store.read(request);
  return result.kind === 'rows' ? result.rows : [];
});

app.post('/table/transact', async event => {
  const blocked = await passFaults();
  if (blocked) return blocked;
  const transaction = codecs.transactionSchema.parse(await event.req.json());
  const result = await store.transact(transaction);
  if (faults.outage === 'holdAnswers') await hold();
  if (isAnswerLost(transaction)) event.runtime?.node?.req.socket.destroy();
  return result;
});

app.put('/objects/:name', async event => {
  const blocked = await passFaults();
  if (blocked) return blocked;
  const {text} = zod.object({text: zod.string()}).parse(await event.req.json());
  await store.putObject(getName(event), text);
  return {};
});

app.get('/objects/:name', async event => {
  const blocked = await passFaults();
  if (blocked) return blocked;
  const result = await store.getObject(getName(event));
  if (result.kind !== 'object') return new Response('absent', {status: 404});
  return {text: result.text};
});

app.get('/vms', async () => {
  const blocked = await passFaults();
  if (blocked) return blocked;
  const result = await store.listVms();
  return result.kind === 'vms' ? result.vms : [];
});

function getName(event: h3.H3Event): string {
  return decodeURIComponent(event.context.params?.name ?? '');
}

processes.announceListening(http.createServer(h3.toNodeHandler(app)));
