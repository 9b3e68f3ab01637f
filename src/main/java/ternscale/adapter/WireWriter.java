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
  void finish(long frame) throws IOException {
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

  private interface Body {
    void write() throws IOException;
  }

  private void action(String name, int who, Body body) {
    try {
      json.writeStartObject();
      json.writeFieldName(MSG);
      json.writeString(name);
      json.writeFieldName(WHO);
      json.writeNumber(who);
      body.write();
      json.writeEndObject();
      json.writeRaw('\n');
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void call(String id) throws IOException {
    json.writeFieldName(CALL);
    json.writeString(id);
  }

  private void host(String id) throws IOException {
    json.writeFieldName(HOST);
    json.writeString(id);
  }

  void giveIn(int who, String text) {
    action("GiveIn", who, () -> json.writeStringField("line", text));
  }

  /** Creates the actions of one instance. */
  Actions forInstance(int who) {
    return new InstanceActions(who);
  }

  private final class InstanceActions implements Actions {
    private final int who;

    InstanceActions(int who) {
      this.who = who;
    }

    @Override
    public void send(String requestId, String host, double timeoutMs) {
      action(
          "Place",
          who,
          () -> {
            call(requestId);
            host(host);
            if (timeoutMs > 0) {
              json.writeNumberField("give_up_after", timeoutMs);
            }
          });
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
      action(
          "Shed",
          who,
          () -> {
            call(requestId);
            if (retryAfterMs > 0) {
              json.writeNumberField("retry_after", retryAfterMs);
            }
          });
    }

    @Override
    public void fail(String requestId) {
      action("DropRequest", who, () -> call(requestId));
    }

    @Override
    public void cancel(String requestId, int attempt) {
      action(
          "Abandon",
          who,
          () -> {
            call(requestId);
            json.writeNumberField("shot", attempt);
          });
    }

    @Override
    public void probe(String host) {
      action("SoundOut", who, () -> host(host));
    }

    @Override
    public void closeIdle(String host) {
      action("LetGo", who, () -> host(host));
    }

    @Override
    public void setTimer(long timer, double delayMs) {
      action(
          "Schedule",
          who,
          () -> {
            json.writeNumberField("sleep_for", delayMs);
            json.writeNumberField("name", timer);
          });
    }

    @Override
    public void poll() {
      action("Lookup", who, () -> {});
    }

    @Override
    public void watch(boolean on) {
      action("Watch", who, () -> json.writeBooleanField("want", on));
    }

    @Override
    public void log(String line) {
      action("JournalLine", who, () -> json.writeStringField("line", line));
    }

    @Override
    public void sendToPeer(int peer, String data) {
      action(
          "Tell",
          who,
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
