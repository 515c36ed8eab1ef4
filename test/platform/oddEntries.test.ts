import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const NESTED = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
const CALL_COUNT = 20;

interface EntryFields {
  readonly address?: string;
  readonly slots?: string;
  readonly cold?: string;
  readonly born?: string;
  readonly more?: string;
}

/** Gets the text of an entry; fields are JSON. */
function getEntryText(fields: EntryFields): string {
  const {
    address = '"127.0.0.1:9"',
    slots = '8',
    cold = '"0ms"',
    born = '1',
    more = '0',
  } = fields;
  return `{"Address":${address},"born":${born},"more":${more},"ServerInfo":{"Service":"desk","Version":"v1","Zone":"amman-a","Slots":${slots}},"Status":{"State":"ready","Sequence":1,"ColdRemaining":${cold}}}`;
}

/** Entries that name no upstream. */
const ODD_ENTRIES: readonly (readonly [string, string])[] = [
  ['nested without end', `${'{"a":'.repeat(9000)}`],
  ['nested', NESTED],
  ['a nested address', getEntryText({address: NESTED})],
  ['a number beyond all', getEntryText({slots: '1e999'})],
  ['more slots than any upstream has', getEntryText({slots: '1e15'})],
  ['a start beyond all', getEntryText({born: '1e400'})],
  ['cold for ever', getEntryText({cold: `"${'9'.repeat(400)}s"`})],
  ['cold for years', getEntryText({cold: '"999999999s"'})],
  ['a port out of range', getEntryText({address: '"127.0.0.1:70000"'})],
  ['port 0', getEntryText({address: '"127.0.0.1:0"'})],
  ['no port', getEntryText({address: '"127.0.0.1:"'})],
  ['a port in hex', getEntryText({address: '"127.0.0.1:0x50"'})],
  ['a host that is none', getEntryText({address: '"a b[:80"'})],
  ['a host with a path', getEntryText({address: '"10.0.0.1/x?:80"'})],
  ['bytes that are no text', '\u0000\ufffd\ufffe'],
];

void test.describe('an odd entry among those of the upstreams', () => {
  for (const [name, text] of ODD_ENTRIES)
    void test.it(`leaves the others in use: ${name}`, async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(
          [{prefix: '/look/', kind: 'safe', service: 'desk'}],
          fleets.getSoleOrganisation('k1'),
        );
        await fleet.addUpstream('desk');
        await fleet.addVms(2);
        fleet.store.put('servers', 'i-odd', text);
        const added = await fleet.addUpstream('desk');
        await fleet.waitFor(() =>
          [0, 1].every(index =>
            fleet
              .getProcess(index)
              .getLog()
              .includes(`upstreamAdded upstream=${added.upstreamId}`),
          ),
        );
        const answers = await Promise.all(
          [...Array(CALL_COUNT).keys()].map(index =>
            fleet.call(index % 2, {object: String(index)}),
          ),
        );
        earl
          .expect(answers.map(answer => answer.httpStatus))
          .toEqual(Array(CALL_COUNT).fill(200));
        const log = fleet.getProcess(0).getLog();
        earl.expect(log.includes('rowUnreadable row=i-odd')).toEqual(true);
        earl
          .expect(log.includes('upstreamAdded upstream=i-odd'))
          .toEqual(false);
      });
    });

  void test.it('leaves peers what a VM knows', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(
        [{prefix: '/look/', kind: 'safe', service: 'desk'}],
        fleets.getSoleOrganisation('k1'),
      );
      await fleet.addUpstream('desk');
      const cold = getEntryText({cold: `"${'9'.repeat(400)}s"`});
      fleet.store.put('servers', 'i-odd', cold);
      await fleet.addVms(2);
      fleet.store.setFault(
        {kind: 'refuse', httpStatus: 503},
        fleet.getVmHost(1),
      );
      const added = await fleet.addUpstream('desk');
      await fleet.waitFor(() =>
        fleet
          .getProcess(1)
          .getLog()
          .includes(`upstreamAdded upstream=${added.upstreamId}`),
      );
    });
  });
});
