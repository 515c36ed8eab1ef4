import * as http from 'node:http';
import * as h3 from 'h3';
import * as zod from 'zod';
import * as codecs from '../../src/codecs/index.js';
import * as services from '../../src/services/platform/index.js';
import * as processOutput from '../processes/processOutput.js';

const HTTP_UNAVAILABLE = 503;

/** The faults that the stand-in platform injects. */
const faultsSchema = zod.strictObject({
  /** Delay in milliseconds before each call is executed. */
  delayMs: zod.number().min(0).default(0),
  /** Whether calls are refused, are never answered, or (transactions only) are committed and never answered. */
  outage: zod.enum(['none', 'refuse', 'hang', 'holdAnswers']).default('none'),
  /** How many of the next transactions are committed and then have their connection closed instead of an answer. */
  lostAnswerCount: zod.int().min(0).default(0),
  /** Only transactions that write a row whose key has this prefix lose their answer; empty for all. */
  lostAnswerPrefix: zod.string().default(''),
});

const store = new services.EmbeddedPlatform();
let faults = faultsSchema.parse({});
let heldCount = 0;

/** Applies the delay and the outage to a call. Returns the response of a refused call, otherwise undefined. */
async function applyFaults(): Promise<Response | undefined> {
  if (faults.delayMs > 0)
    await new Promise(resolve => setTimeout(resolve, faults.delayMs));
  if (faults.outage === 'hang') await hangForever();
  if (faults.outage === 'refuse')
    return new Response('outage', {status: HTTP_UNAVAILABLE});
  return undefined;
}

/** Increments `heldCount` and never resolves. */
async function hangForever(): Promise<never> {
  heldCount += 1;
  return await new Promise(() => {});
}

/** Whether to close the connection instead of answering a transaction; if so, decrements `lostAnswerCount`. */
function consumeLostAnswer(
  transaction: zod.infer<typeof codecs.transactionSchema>,
) {
  if (faults.lostAnswerCount === 0) return false;
  const {lostAnswerPrefix} = faults;
  const matchesPrefix = transaction.writes.some(write =>
    write.key.startsWith(lostAnswerPrefix),
  );
  if (!matchesPrefix) return false;
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
  const faultResponse = await applyFaults();
  if (faultResponse) return faultResponse;
  const request = codecs.readRequestSchema.parse(await event.req.json());
  const result = await store.read(request);
  return result.kind === 'rows' ? result.rows : [];
});

app.post('/table/transact', async event => {
  const faultResponse = await applyFaults();
  if (faultResponse) return faultResponse;
  const transaction = codecs.transactionSchema.parse(await event.req.json());
  const result = await store.transact(transaction);
  if (faults.outage === 'holdAnswers') await hangForever();
  if (consumeLostAnswer(transaction)) event.runtime?.node?.req.socket.destroy();
  return result;
});

app.put('/objects/:name', async event => {
  const faultResponse = await applyFaults();
  if (faultResponse) return faultResponse;
  const {text} = zod.object({text: zod.string()}).parse(await event.req.json());
  await store.putObject(getObjectName(event), text);
  return {};
});

app.get('/objects/:name', async event => {
  const faultResponse = await applyFaults();
  if (faultResponse) return faultResponse;
  const result = await store.getObject(getObjectName(event));
  if (result.kind !== 'object') return new Response('absent', {status: 404});
  return {text: result.text};
});

app.get('/vms', async () => {
  const faultResponse = await applyFaults();
  if (faultResponse) return faultResponse;
  const result = await store.listVms();
  return result.kind === 'vms' ? result.vms : [];
});

function getObjectName(event: h3.H3Event): string {
  return decodeURIComponent(event.context.params?.name ?? '');
}

processOutput.listenAndPrintAddress(http.createServer(h3.toNodeHandler(app)));
