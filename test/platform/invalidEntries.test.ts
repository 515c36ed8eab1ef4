import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const DEEPLY_NESTED_JSON = `${'['.repeat(20_000)}${']'.repeat(20_000)}`;
const CALL_COUNT = 20;

interface EntryFields {
  readonly address?: string;
  readonly slots?: string;
  readonly cold?: string;
  readonly born?: string;
  readonly extraField?: string;
}

/** Returns the JSON text of an entry; the given fields are JSON text, too. */
function getEntryText(fields: EntryFields): string {
  const {
    address = '"127.0.0.1:9"',
    slots = '8',
    cold = '"0ms"',
    born = '1',
    extraField = '0',
  } = fields;
  return `{"Address":${address},"born":${born},"more":${extraField},"ServerInfo":{"Service":"desk","Version":"v1","Zone":"amman-a","Slots":${slots}},"Status":{"State":"ready","Sequence":1,"ColdRemaining":${cold}}}`;
}

/** Names and texts of entries that VMs must reject as unreadable. */
const INVALID_ENTRIES: readonly (readonly [string, string])[] = [
  ['unterminated nesting', `${'{"a":'.repeat(9000)}`],
  ['deep nesting', DEEPLY_NESTED_JSON],
  ['a deeply nested address', getEntryText({address: DEEPLY_NESTED_JSON})],
  ['a slot count beyond the range of numbers', getEntryText({slots: '1e999'})],
  ['too many slots', getEntryText({slots: '1e15'})],
  ['a start time beyond the range of numbers', getEntryText({born: '1e400'})],
  ['an infinite cold start', getEntryText({cold: `"${'9'.repeat(400)}s"`})],
  ['a cold start of years', getEntryText({cold: '"999999999s"'})],
  ['a port out of range', getEntryText({address: '"127.0.0.1:70000"'})],
  ['port 0', getEntryText({address: '"127.0.0.1:0"'})],
  ['no port', getEntryText({address: '"127.0.0.1:"'})],
  ['a port in hex', getEntryText({address: '"127.0.0.1:0x50"'})],
  ['an invalid host', getEntryText({address: '"a b[:80"'})],
  ['a host with a path', getEntryText({address: '"10.0.0.1/x?:80"'})],
  ['control and replacement characters', '\u0000\ufffd\ufffe'],
];

void test.describe('an invalid entry in the upstreams table', () => {
  for (const [name, text] of INVALID_ENTRIES)
    void test.it(`does not affect valid entries: ${name}`, async () => {
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

  void test.it(
    'does not stop a VM from sending the valid entries to its peers',
    async () => {
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
    },
  );
});
