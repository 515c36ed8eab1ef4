import * as test from 'node:test';
import * as earl from 'earl';
import * as kernel from '../../src/kernel/index.js';

const FIRST = kernel.createServiceName<never>('first');
const SECOND = kernel.createServiceName<never>('second');
const THIRD = kernel.createServiceName<never>('third');

/** Records its start and its stop; each takes as long as the promise that the test passes. */
class SlowTask extends kernel.Task<never> {
  private readonly name: string;
  private readonly records: string[];
  private readonly steps: {
    readonly started?: Promise<void>;
    readonly stopped?: Promise<void>;
  };

  constructor(
    name: string,
    records: string[],
    steps: {
      readonly started?: Promise<void>;
      readonly stopped?: Promise<void>;
    } = {},
  ) {
    super();
    this.name = name;
    this.records = records;
    this.steps = steps;
  }

  protected override async onStart(): Promise<void> {
    this.records.push(`${this.name} starts`);
    await this.steps.started;
    this.records.push(`${this.name} runs`);
  }

  protected override async onStop(): Promise<void> {
    this.records.push(`${this.name} stops`);
    await this.steps.stopped;
    this.records.push(`${this.name} is gone`);
  }

  protected override receive(): void {}
}

/** A promise that the test settles. */
function createGate(): {
  readonly passed: Promise<void>;
  readonly open: () => void;
  readonly fail: (thrown: Error) => void;
} {
  let open = () => {};
  let fail: (thrown: Error) => void = () => {};
  const passed = new Promise<void>((resolve, reject) => {
    open = resolve;
    fail = reject;
  });
  return {passed, open, fail};
}

/** Runs everything that waits for no gate, timer or socket. */
async function runPending(): Promise<void> {
  await new Promise(resolve => setImmediate(resolve));
}

void test.describe('Kernel', {timeout: 10_000}, () => {
  void test.it(
    'stops services in the reverse order of their start',
    async () => {
      const records: string[] = [];
      const host = new kernel.Kernel()
        .add(SECOND, new SlowTask('second', records), [FIRST])
        .add(FIRST, new SlowTask('first', records));
      earl.expect(await host.start()).toEqual({kind: 'running'});
      await host.stop();
      earl
        .expect(records)
        .toEqual([
          'first starts',
          'first runs',
          'second starts',
          'second runs',
          'second stops',
          'second is gone',
          'first stops',
          'first is gone',
        ]);
    },
  );

  void test.it(
    'starts nothing more when a stop begins during a start, and stops what has started',
    async () => {
      const records: string[] = [];
      const gate = createGate();
      const host = new kernel.Kernel()
        .add(FIRST, new SlowTask('first', records))
        .add(SECOND, new SlowTask('second', records, {started: gate.passed}))
        .add(THIRD, new SlowTask('third', records));
      const starting = host.start();
      await runPending();
      const stopping = host.stop();
      await runPending();
      earl
        .expect(records)
        .toEqual(['first starts', 'first runs', 'second starts']);
      gate.open();
      earl.expect(await starting).toEqual({kind: 'stopped'});
      await stopping;
      await runPending();
      earl
        .expect(records.slice(3))
        .toEqual([
          'second runs',
          'second stops',
          'second is gone',
          'first stops',
          'first is gone',
        ]);
    },
  );

  void test.it(
    'is stopping, not running, after a stop during its last step',
    async () => {
      const records: string[] = [];
      const gate = createGate();
      const host = new kernel.Kernel().add(
        FIRST,
        new SlowTask('first', records, {started: gate.passed}),
      );
      const starting = host.start();
      const stopping = host.stop();
      gate.open();
      earl.expect(await starting).toEqual({kind: 'stopped'});
      await stopping;
      earl
        .expect(records)
        .toEqual([
          'first starts',
          'first runs',
          'first stops',
          'first is gone',
        ]);
    },
  );

  void test.it('starts nothing after a stop', async () => {
    const records: string[] = [];
    const host = new kernel.Kernel().add(FIRST, new SlowTask('first', records));
    await host.stop();
    earl.expect(await host.start()).toEqual({kind: 'stopped'});
    earl.expect(records).toEqual([]);
  });

  void test.it('shares one stop between repeated calls', async () => {
    const records: string[] = [];
    const gate = createGate();
    const host = new kernel.Kernel().add(
      FIRST,
      new SlowTask('first', records, {stopped: gate.passed}),
    );
    await host.start();
    const first = host.stop();
    let isSecondDone = false;
    const second = host.stop().then(() => {
      isSecondDone = true;
    });
    await runPending();
    earl.expect(isSecondDone).toEqual(false);
    gate.open();
    await Promise.all([first, second]);
    earl.expect(records.slice(2)).toEqual(['first stops', 'first is gone']);
  });

  void test.it('can be stopped after a start that failed midway', async () => {
    const records: string[] = [];
    const gate = createGate();
    const host = new kernel.Kernel()
      .add(FIRST, new SlowTask('first', records))
      .add(SECOND, new SlowTask('second', records, {started: gate.passed}))
      .add(THIRD, new SlowTask('third', records));
    const starting = host.start();
    gate.fail(new Error('address in use'));
    await earl.expect(starting).toBeRejectedWith('address in use');
    await host.stop();
    earl
      .expect(records)
      .toEqual([
        'first starts',
        'first runs',
        'second starts',
        'second stops',
        'second is gone',
        'first stops',
        'first is gone',
      ]);
  });

  void test.it('can be stopped while the step in progress fails', async () => {
    const records: string[] = [];
    const gate = createGate();
    const host = new kernel.Kernel()
      .add(FIRST, new SlowTask('first', records, {started: gate.passed}))
      .add(SECOND, new SlowTask('second', records));
    const starting = host.start();
    const stopping = host.stop();
    gate.fail(new Error('address in use'));
    await earl.expect(starting).toBeRejectedWith('address in use');
    await stopping;
    earl
      .expect(records)
      .toEqual(['first starts', 'first stops', 'first is gone']);
  });

  void test.it('stops all services when one fails to stop', async () => {
    const records: string[] = [];
    const gate = createGate();
    const host = new kernel.Kernel()
      .add(FIRST, new SlowTask('first', records))
      .add(SECOND, new SlowTask('second', records, {stopped: gate.passed}));
    await host.start();
    const stopping = host.stop();
    gate.fail(new Error('socket is gone'));
    await earl.expect(stopping).toBeRejectedWith('socket is gone');
    earl
      .expect(records.slice(4))
      .toEqual(['second stops', 'first stops', 'first is gone']);
  });
});
