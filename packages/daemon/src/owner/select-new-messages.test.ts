import {hashHistoryContent, type HistoryText} from '@marjoramcove/programs';
import {describe, expect, it} from 'vitest';
import {messageMarker} from '../dispatcher/assemble-chat-messages.ts';
import {selectNewMessages} from './select-new-messages.ts';

const system = {role: 'system', content: 'You coach entrants.'};
const user = (content: string): HistoryText => ({role: 'user', content});
const assistant = (content: string): HistoryText => ({
	role: 'assistant',
	content,
});

const createEntries = (messages: HistoryText[]) => {
	let offset = 0;
	return messages.map(({role, content}) => {
		const lengthBytes = Buffer.byteLength(content);
		const entry = {
			role,
			offset,
			lengthBytes,
			hash: hashHistoryContent(content),
		};
		offset += lengthBytes;
		return entry;
	});
};

describe('selectNewMessages', () => {
	const history = [system, user('a'), assistant('b')];

	it('drops the history when a client sends the whole conversation again', () => {
		// Guards against a history that doubles with each turn of an OpenAI client.
		expect(
			selectNewMessages(createEntries(history), [...history, user('c')]),
		).toEqual([user('c')]);
	});

	it('keeps all messages of a client that sends only new ones', () => {
		expect(selectNewMessages(createEntries(history), [user('c')])).toEqual([
			user('c'),
		]);
	});

	it('drops a system message that is sent with each turn', () => {
		expect(
			selectNewMessages(createEntries(history), [system, user('c')]),
		).toEqual([user('c')]);
	});

	it('drops the end of the history when a client with a sliding window sends it again', () => {
		expect(
			selectNewMessages(createEntries(history), [
				user('a'),
				assistant('b'),
				user('c'),
			]),
		).toEqual([user('c')]);
	});

	it('keeps a message that equals an earlier one that is not at the end', () => {
		// Guards against a repeated question that is treated as a duplicate.
		expect(selectNewMessages(createEntries(history), [user('a')])).toEqual([
			user('a'),
		]);
	});

	const markedMessage = (role: string, message: unknown): HistoryText => ({
		role,
		content: messageMarker + JSON.stringify(message),
	});
	const toolCall = (id: string) =>
		markedMessage('assistant', {content: null, tool_calls: [{id}]});
	const result = (id: string, content: string) =>
		markedMessage('tool', {tool_call_id: id, content});
	const tool: HistoryText = {role: 'tool', content: 'booked'};
	const failure: HistoryText = {role: 'error', content: 'engine lost'};

	it('matches a conversation that leaves out a failed call', () => {
		// Guards against a history that doubles after each failure.
		expect(
			selectNewMessages(createEntries([...history, user('c'), failure]), [
				...history,
				user('c'),
			]),
		).toEqual([]);
	});

	it('matches a conversation that leaves out a failed tool call', () => {
		expect(
			selectNewMessages(createEntries([...history, toolCall('r1'), failure]), [
				...history,
				user('c'),
			]),
		).toEqual([user('c')]);
	});

	it('matches a conversation that leaves out completed tool calls', () => {
		const recorded = [...history, toolCall('r1'), tool, assistant('d')];
		expect(
			selectNewMessages(createEntries(recorded), [
				...history,
				assistant('d'),
				user('e'),
			]),
		).toEqual([user('e')]);
	});

	it('matches a tool result that the client sends under the tool call id of the model', () => {
		const recorded = [user('a'), toolCall('call-1'), toolCall('r1'), tool];
		expect(
			selectNewMessages(createEntries(recorded), [
				user('a'),
				toolCall('call-1'),
				result('call-1', 'booked'),
			]),
		).toEqual([]);
	});

	it('keeps a tool result that the system did not record', () => {
		const recorded = [user('a'), toolCall('call-1')];
		expect(
			selectNewMessages(createEntries(recorded), [
				user('a'),
				toolCall('call-1'),
				result('call-1', 'booked'),
			]),
		).toEqual([result('call-1', 'booked')]);
	});

	it('keeps a question that was answered before the last failure', () => {
		// Guards against a repeated question that is treated as a duplicate although an answer followed it.
		expect(
			selectNewMessages(createEntries([...history, user('c'), failure]), [
				user('a'),
			]),
		).toEqual([user('a')]);
	});

	it('keeps an edited conversation', () => {
		const edited = [system, user('a'), assistant('other'), user('c')];
		expect(selectNewMessages(createEntries(history), edited)).toEqual(
			edited.slice(1),
		);
	});
});
