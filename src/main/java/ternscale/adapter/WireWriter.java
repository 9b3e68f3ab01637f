package ternscale.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import ternscale.api.Actions;

/** Writes the actions of a reply, which is buffered until it is complete. */
final class WireWriter {
  private static final SerializedString MSG = new SerializedString("msg");
  private static final SerializedString WHO = new SerializedString("who");
  private static final SerializedString CALL = new SerializedString("call");
  private static final SerializedString HOST = new SerializedString("host");

  private final OutputStream out;
  private final ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
  private final JsonGenerator json;

  WireWriter(OutputStream out) throws IOException {
    this.out = out;
    json = new JsonFactory().createGenerator(reply);
    json.setRootValueSeparator(new SerializedString(""));
  }

  /** Ends the reply and sends it with one write and one flush. */
  void finishReply(long frame) throws IOException {
    json.writeStartObject();
    json.writeStringField("msg", "Yield");
    json.writeNumberField("frame", frame);
    json.writeEndObject();
    json.writeRaw('\n');
    json.flush();
    reply.writeTo(out);
    out.flush();
    reply.reset();
  }

  private interface ActionFields {
    void write() throws IOException;
  }

  private void writeAction(String name, int instance, ActionFields body) {
    try {
      json.writeStartObject();
      json.writeFieldName(MSG);
      json.writeString(name);
      json.writeFieldName(WHO);
      json.writeNumber(instance);
      body.write();
      json.writeEndObject();
      json.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void writeCall(String id) throws IOException {
    json.writeFieldName(CALL);
    json.writeString(id);
  }

  private void writeHost(String id) throws IOException {
    json.writeFieldName(HOST);
    json.writeString(id);
  }

  void writeFailure(int instance, String text) {
    writeAction("GiveIn", instance, () -> json.writeStringField("line", text));
  }

  /** Creates the actions of one instance. */
  Actions forInstance(int instance) {
    return new InstanceActions(instance);
  }

  private final class InstanceActions implements Actions {
    private final int instance;

    InstanceActions(int instance) {
      this.instance = instance;
    }

    @Override
    public void send(String requestId, String host, double timeoutMs) {
      writeAction(
          "Place",
          instance,
          () -> {
            writeCall(requestId);
            writeHost(host);
            if (timeoutMs > 0) {
              json.writeNumberField("give_up_after", timeoutMs);
            }
          });
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
      writeAction(
          "Shed",
          instance,
          () -> {
            writeCall(requestId);
            if (retryAfterMs > 0) {
              json.writeNumberField("retry_after", retryAfterMs);
            }
          });
    }

    @Override
    public void fail(String requestId) {
      writeAction("DropRequest", instance, () -> writeCall(requestId));
    }

    @Override
    public void cancel(String requestId, int attempt) {
      writeAction(
          "Abandon",
          instance,
          () -> {
            writeCall(requestId);
            json.writeNumberField("shot", attempt);
          });
    }

    @Override
    public void probe(String host) {
      writeAction("SoundOut", instance, () -> writeHost(host));
    }

    @Override
    public void closeIdle(String host) {
      writeAction("LetGo", instance, () -> writeHost(host));
    }

    @Override
    public void setTimer(long timer, double delayMs) {
      writeAction(
          "Schedule",
          instance,
          () -> {
            json.writeNumberField("sleep_for", delayMs);
            json.writeNumberField("name", timer);
          });
    }

    @Override
    public void poll() {
      writeAction("Lookup", instance, () -> {});
    }

    @Override
    public void watch(boolean on) {
      writeAction("Watch", instance, () -> json.writeBooleanField("want", on));
    }

    @Override
    public void log(String line) {
      writeAction("JournalLine", instance, () -> json.writeStringField("line", line));
    }

    @Override
    public void sendToPeer(int peer, String data) {
      writeAction(
          "Tell",
          instance,
          () -> {
            if (peer < 0) {
              json.writeStringField("addressee", "*");
            } else {
              json.writeNumberField("addressee", peer);
            }
            json.writeStringField("data", data);
          });
    }
  }
}
