import * as decisions from '../../decisions/memory/index.js';
import type * as kernel from '../../kernel/index.js';
import * as logs from '../logs/LogMessage.js';
import * as metrics from '../metrics/MetricsMessage.js';
import * as memories from './AnswerMemory.js';

/**
 * Creates the bound that all listeners of a process share. Each connection that it closes is logged and counted.
 *
 * @param memoryBytes The memory of the VM in bytes.
 */
export function createAnswerMemory(
  services: kernel.ServiceDirectory,
  memoryBytes: number,
): memories.AnswerMemory {
  const maxAnswerBytes = decisions.getMaxAnswerBytes(memoryBytes);
  return new memories.AnswerMemory(maxAnswerBytes, ({heldBytes}) => {
    services
      .getOrThrow(metrics.METRICS)
      .post({kind: 'count', name: 'connections_closed_unread'});
    services.getOrThrow(logs.LOG).post({
      kind: 'event',
      level: 'warn',
      name: 'connectionClosedUnread',
      fields: {heldBytes, maxBytes: maxAnswerBytes},
    });
  });
}
